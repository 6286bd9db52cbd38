package org.chivecourse.gateway.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.RefusalSignal;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.host.HostCore;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.gateway.audit.AuditTrail;
import org.chivecourse.gateway.environment.GatewayEnvironment;
import org.chivecourse.gateway.environment.PublicationReader;
import org.chivecourse.gateway.operator.MetricsPrinter;
import org.chivecourse.gateway.operator.OperatorListener;
import org.chivecourse.gateway.operator.StatusPrinter;
import org.chivecourse.gateway.settings.GatewaySettings;
import org.chivecourse.gateway.tls.ReloadingTls;
import org.chivecourse.gateway.tls.TlsException;
import org.chivecourse.protocol.peer.MessageAuthenticator;
import org.chivecourse.protocol.peer.PeerCodec;
import org.chivecourse.protocol.trace.TraceFormat;
import org.chivecourse.protocol.trace.TraceRecorder;
import org.chivecourse.transport.driver.CoreDriver;
import org.chivecourse.transport.http.BackendConnections;
import org.chivecourse.transport.http.CallerListener;
import org.chivecourse.transport.http.ExchangeMetrics;
import org.chivecourse.transport.http.ExchangeRegistry;
import org.chivecourse.transport.http.ServerChecks;
import org.chivecourse.transport.peer.PeerEndpoint;
import org.chivecourse.transport.peer.PeerMetrics;
import org.jboss.logging.Logger;
import reactor.netty.resources.LoopResources;

/** A gateway: takes callers' requests, has the decision core choose backend servers, and passes answers back. */
public final class Gateway {

    /** The log. */
    private static final Logger LOGGER = Logger.getLogger(Gateway.class);

    /** The time between two looks at open exchanges during a stop, in milliseconds. */
    private static final long STOP_POLL_MILLISECONDS = 5;

    /** The time between two ticks of a gateway whose backend servers announce themselves, in nanoseconds. */
    private static final long FLEET_TICK_NANOSECONDS = 20_000_000L;

    /** The settings. */
    private final GatewaySettings settings;

    /** The threads that connections run on. */
    private final EventLoopGroup group;

    /** The driver of the decision core. */
    private final CoreDriver driver;

    /** The connections to backend servers. */
    private final BackendConnections connections;

    /** The exchanges with callers. */
    private final ExchangeRegistry exchanges;

    /** The looks at backend servers' health and load. */
    private final ServerChecks looks;

    /** The listener for callers. */
    private final CallerListener callers;

    /** The listener for operators. */
    private final OperatorListener operators;

    /** The watches of the configuration service and the host list. */
    private final PlatformFeeds feeds;

    /** The reader of published items. */
    private final PublicationReader publication;

    /** The exchange with other gateways, {@code null} if there is none. */
    private final PeerEndpoint peers;

    /** The trail of changes. */
    private final AuditTrail audit;

    /** Keeps the latest steps of the decision core. */
    private final TraceRecorder recorder;

    /** The TLS context of callers' connections. */
    private final ReloadingTls callerTls;

    /** The TLS context of connections to backend servers. */
    private final ReloadingTls backendTls;

    /** Notices that the process did not run. */
    private final Pauses pauses;

    /** The state of the gateway. */
    private volatile GatewayState state = GatewayState.STARTING;

    /** Whether a stop does not wait for open exchanges. */
    private volatile boolean hurry;

    /**
     * Creates a gateway that is not started, with the product's own header fields and platform services.
     *
     * @param settings the settings
     * @param seed the seed of the source of randomness
     * @param clock tells the time of changes
     * @throws GatewayException if the TLS files cannot be used
     */
    public Gateway(GatewaySettings settings, long seed, Clock clock) throws GatewayException {
        this(settings, seed, clock, GatewayEnvironment.Default.INSTANCE);
    }

    /**
     * Creates a gateway that is not started.
     *
     * @param settings the settings
     * @param seed the seed of the source of randomness
     * @param clock tells the time of changes
     * @param environment what an adapter to a platform supplies
     * @throws GatewayException if the TLS files cannot be used
     */
    public Gateway(GatewaySettings settings, long seed, Clock clock, GatewayEnvironment environment)
            throws GatewayException {
        this.settings = settings;
        try {
            callerTls = ReloadingTls.server(
                    settings.callers().certificate(), settings.callers().key());
            backendTls = ReloadingTls.client(settings.backendTrust());
        } catch (TlsException exception) {
            throw new GatewayException(exception.getMessage(), exception);
        }
        group = new MultiThreadIoEventLoopGroup(
                settings.threads(), new DefaultThreadFactory("gateway", true), NioIoHandler.newFactory());
        LoopResources loops = useNative -> group;
        pauses = new Pauses(clock, System.nanoTime());
        audit = new AuditTrail(settings.name(), clock, environment.log());
        HostSettings host = SettingsTranslation.host(settings, seed, clock);
        recorder = new TraceRecorder(host, seed, settings.traceSteps());
        driver = new CoreDriver(new HostCore(host, new SplittableRandom(seed), environment.decoder()), recorder);
        connections = new BackendConnections(
                settings.expectedHosts(), SettingsTranslation.http(settings), backendTls::context, loops);
        MetricRegistry metrics = new MetricRegistry();
        exchanges = new ExchangeRegistry(
                driver, connections, new ExchangeMetrics(metrics), environment.dialect(), environment.log());
        looks = new ServerChecks(
                driver, connections, environment.dialect(), SettingsTranslation.probeTimeout(settings));
        callers = new CallerListener(
                listening(settings.callers().address()), settings.http(), callerTls::context, driver, exchanges, loops);
        metrics.register("calls.open", (Gauge<Integer>) exchanges::openExchanges);
        operators = new OperatorListener(
                listening(settings.operators().address()),
                this::ready,
                this::status,
                new MetricsPrinter(metrics),
                this::trace,
                loops);
        feeds = new PlatformFeeds(settings, driver, seed, clock);
        publication = environment.reader(settings, driver, loops);
        peers = settings.peers() == null ? null : peerEndpoint(metrics);
        driver.setDecisionSink(this::perform);
    }

    /**
     * Returns the exchange with other gateways.
     *
     * @param metrics holds the metrics
     * @return the exchange
     * @throws GatewayException if the shared key cannot be read
     */
    private PeerEndpoint peerEndpoint(MetricRegistry metrics) throws GatewayException {
        String keyFile = settings.peers().keyFile();
        try {
            MessageAuthenticator seal = keyFile.isEmpty()
                    ? MessageAuthenticator.Disabled.INSTANCE
                    : new MessageAuthenticator.HmacSha256(Files.readAllBytes(Path.of(keyFile)));
            InetSocketAddress address = listening(settings.peers().address());
            return new PeerEndpoint(address, new PeerCodec(seal), driver, new PeerMetrics(metrics), group);
        } catch (IOException exception) {
            throw new GatewayException("shared key \"" + keyFile + "\" cannot be read", exception);
        }
    }

    /**
     * Returns the socket address to listen on.
     *
     * @param text the host name or IP number and the port
     * @return the socket address
     */
    private static InetSocketAddress listening(String text) {
        InetSocketAddress address = BackendConnections.unresolvedAddress(text);
        return new InetSocketAddress(address.getHostString(), address.getPort());
    }

    /**
     * Starts the gateway; it is ready once a configuration is in force.
     *
     * @throws GatewayException if an address cannot be listened on
     */
    public void start() throws GatewayException {
        try {
            operators.start();
            callers.start();
            if (peers != null) {
                peers.start();
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new GatewayException("the start was interrupted", exception);
        } catch (IOException | RuntimeException exception) {
            throw new GatewayException("an address cannot be listened on: " + exception.getMessage(), exception);
        }
        state = GatewayState.RUNNING;
        audit.step("started", "start");
        long tick = settings.fleet() == null ? HostCore.MAXIMUM_TICK_INTERVAL_NANOSECONDS : FLEET_TICK_NANOSECONDS;
        group.next().scheduleAtFixedRate(this::tick, 0, tick, TimeUnit.NANOSECONDS);
        long reload = ReloadingTls.INTERVAL.toMillis();
        group.next().scheduleWithFixedDelay(this::reloadTls, reload, reload, TimeUnit.MILLISECONDS);
        feeds.start();
    }

    /**
     * Tells the core that time passed.
     */
    private void tick() {
        try {
            long paused = pauses.tick(System.nanoTime());
            if (paused > 0) {
                audit.step("resumed", "the process did not run for " + TimeUnit.NANOSECONDS.toMillis(paused) + " ms");
                driver.handle(new Event.Resumed(paused));
            }
            driver.handle(new Event.TimePassed());
        } catch (RuntimeException exception) {
            LOGGER.error("a tick failed", exception);
        }
    }

    /**
     * Takes over changed TLS files.
     */
    private void reloadTls() {
        callerTls.reload();
        backendTls.reload();
    }

    /**
     * Carries out a decision.
     *
     * @param decision the decision
     */
    private void perform(Decision decision) {
        boolean done = exchanges.perform(decision)
                || looks.perform(decision)
                || publication.perform(decision)
                || peers != null && peers.perform(decision);
        if (done) {
            return;
        }
        if (decision instanceof Decision.Apply apply) {
            Configuration configuration = apply.configuration().configuration();
            callers.setRefusalSignals(
                    path -> configuration.serviceFor(path).map(Service::refusal).orElse(RefusalSignal.NONE));
        } else if (decision instanceof Decision.UseServers use) {
            connections.apply(use.servers());
        } else if (decision instanceof Decision.Watch watch) {
            feeds.watch(watch.withoutPause());
        } else if (decision instanceof Decision.Audit change) {
            audit.record(change.change());
        }
    }

    /**
     * Takes over changed settings: the publisher and the seeds of the fleet at once, others after the next start.
     *
     * @param changed the settings
     * @param cause why they were read
     */
    public void reload(GatewaySettings changed, String cause) {
        GatewaySettings.Fleet before = settings.fleet();
        GatewaySettings.Fleet now = changed.fleet();
        if (before != null && now != null) {
            publication.publisher(now.publisher());
            driver.handle(new Event.SeedsChanged(now.seeds()));
        }
        boolean rest = changed.withFleet(before).equals(settings);
        audit.step("reloaded", cause + (rest ? "" : "; other settings than the fleet take effect at the next start"));
    }

    /**
     * Records a step of the process's own life.
     *
     * @param step the step
     * @param cause why it happened
     */
    public void step(String step, String cause) {
        audit.step(step, cause);
    }

    /**
     * Returns whether the balancer may send callers here.
     *
     * @return {@code true} while the gateway runs and a configuration is in force
     */
    public boolean ready() {
        return state == GatewayState.RUNNING && driver.read(core -> core.serves(System.nanoTime()));
    }

    /**
     * Returns the number of calls that have no final answer yet.
     *
     * @return the number of calls
     */
    public int openCalls() {
        return driver.read(HostCore::openCalls);
    }

    /**
     * Prints the status.
     *
     * @return the status as JSON
     */
    public String status() {
        StatusPrinter printer = new StatusPrinter();
        ObjectNode status = driver.read(
                core -> printer.status(settings.name(), state.toString(), core, System.nanoTime(), audit.latest()));
        feeds.print(status);
        return status.toPrettyString();
    }

    /**
     * Prints the latest steps of the decision core.
     *
     * @return the trace as JSON lines
     */
    public String trace() {
        return new TraceFormat().write(recorder.trace());
    }

    /**
     * Returns the port that callers connect to.
     *
     * @return the port
     */
    public int callerPort() {
        return callers.port();
    }

    /**
     * Returns the port that operators connect to.
     *
     * @return the port
     */
    public int operatorPort() {
        return operators.port();
    }

    /**
     * Returns the port that other gateways connect to.
     *
     * @return the port, zero if this one exchanges nothing with others
     */
    public int peerPort() {
        return peers == null ? 0 : peers.port();
    }

    /**
     * Ends a stop at once instead of waiting for open exchanges.
     */
    public void hurry() {
        hurry = true;
    }

    /**
     * Stops the gateway: withdraws readiness, lingers, stops listening, waits for open exchanges and closes.
     *
     * @return the number of exchanges that were cut
     * @throws InterruptedException if the thread is interrupted
     */
    public int stop() throws InterruptedException {
        long start = System.nanoTime();
        callers.announceStop();
        state = GatewayState.STOPPING;
        audit.step("stopping", "stop was asked for");
        driver.handle(new Event.StopRequested());
        waitUntil(start + settings.drain().linger().toNanos(), false);
        callers.stop();
        waitUntil(start + settings.drain().deadline().toNanos(), true);
        int cut = exchanges.openExchanges();
        feeds.stop();
        publication.stop();
        if (peers != null) {
            peers.stop();
        }
        operators.stop();
        connections.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        state = GatewayState.STOPPED;
        audit.step("stopped", cut + " exchanges were cut");
        return cut;
    }

    /**
     * Waits until a time, until a hurry, or until no exchange is open.
     *
     * @param end the time in nanoseconds
     * @param untilEmpty whether to end once no exchange is open
     * @throws InterruptedException if the thread is interrupted
     */
    private void waitUntil(long end, boolean untilEmpty) throws InterruptedException {
        while (System.nanoTime() - end < 0 && !hurry) {
            if (untilEmpty && exchanges.openExchanges() == 0) {
                return;
            }
            Thread.sleep(STOP_POLL_MILLISECONDS);
        }
    }
}
