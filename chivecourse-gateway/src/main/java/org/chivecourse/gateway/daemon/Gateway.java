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
    private static final long STOP_POLL_INTERVAL_MILLISECONDS = 5;

    /** The time between two ticks of a gateway whose backend servers announce themselves, in nanoseconds. */
    private static final long FLEET_TICK_INTERVAL_NANOSECONDS = 20_000_000L;

    /** The settings. */
    private final GatewaySettings settings;

    /** The threads that connections run on. */
    private final EventLoopGroup eventLoopGroup;

    /** The driver of the decision core. */
    private final CoreDriver driver;

    /** The connections to backend servers. */
    private final BackendConnections connections;

    /** The exchanges with callers. */
    private final ExchangeRegistry exchanges;

    /** The looks at backend servers' health and load. */
    private final ServerChecks healthChecks;

    /** The listener for callers. */
    private final CallerListener callerListener;

    /** The listener for operators. */
    private final OperatorListener operatorListener;

    /** The watches of the configuration service and the host list. */
    private final PlatformFeeds feeds;

    /** The reader of published items. */
    private final PublicationReader publicationReader;

    /** The exchange with other gateways, {@code null} if there is none. */
    private final PeerEndpoint peerEndpoint;

    /** The trail of changes. */
    private final AuditTrail auditTrail;

    /** Keeps the latest steps of the decision core. */
    private final TraceRecorder traceRecorder;

    /** The TLS context of callers' connections. */
    private final ReloadingTls callerTls;

    /** The TLS context of connections to backend servers. */
    private final ReloadingTls backendTls;

    /** Notices that the process did not run. */
    private final PauseDetector pauseDetector;

    /** The state of the gateway. */
    private volatile GatewayState state = GatewayState.STARTING;

    /** Whether a stop does not wait for open exchanges. */
    private volatile boolean drainSkipped;

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
        eventLoopGroup = new MultiThreadIoEventLoopGroup(
                settings.threads(), new DefaultThreadFactory("gateway", true), NioIoHandler.newFactory());
        LoopResources loopResources = useNative -> eventLoopGroup;
        pauseDetector = new PauseDetector(clock, System.nanoTime());
        auditTrail = new AuditTrail(settings.name(), clock, environment.log());
        HostSettings hostSettings = SettingsTranslation.hostSettings(settings, seed, clock);
        traceRecorder = new TraceRecorder(hostSettings, seed, settings.traceSteps());
        driver = new CoreDriver(
                new HostCore(hostSettings, new SplittableRandom(seed), environment.publicationDecoder()),
                traceRecorder);
        connections = new BackendConnections(
                settings.expectedHosts(),
                SettingsTranslation.httpSettings(settings),
                backendTls::context,
                loopResources);
        MetricRegistry metrics = new MetricRegistry();
        exchanges = new ExchangeRegistry(
                driver, connections, new ExchangeMetrics(metrics), environment.headerDialect(), environment.log());
        healthChecks = new ServerChecks(
                driver, connections, environment.headerDialect(), SettingsTranslation.probeTimeout(settings));
        callerListener = new CallerListener(
                listenAddress(settings.callers().address()),
                settings.http(),
                callerTls::context,
                driver,
                exchanges,
                loopResources);
        metrics.register("calls.open", (Gauge<Integer>) exchanges::openExchanges);
        operatorListener = new OperatorListener(
                listenAddress(settings.operators().address()),
                this::ready,
                this::status,
                new MetricsPrinter(metrics),
                this::trace,
                loopResources);
        feeds = new PlatformFeeds(settings, driver, seed, clock);
        publicationReader = environment.createPublicationReader(settings, driver, loopResources);
        peerEndpoint = settings.peers() == null ? null : createPeerEndpoint(metrics);
        driver.setDecisionSink(this::perform);
    }

    /**
     * Returns the exchange with other gateways.
     *
     * @param metrics holds the metrics
     * @return the exchange
     * @throws GatewayException if the shared key cannot be read
     */
    private PeerEndpoint createPeerEndpoint(MetricRegistry metrics) throws GatewayException {
        String keyFile = settings.peers().keyFile();
        try {
            MessageAuthenticator seal = keyFile.isEmpty()
                    ? MessageAuthenticator.Disabled.INSTANCE
                    : new MessageAuthenticator.HmacSha256(Files.readAllBytes(Path.of(keyFile)));
            InetSocketAddress address = listenAddress(settings.peers().address());
            return new PeerEndpoint(address, new PeerCodec(seal), driver, new PeerMetrics(metrics), eventLoopGroup);
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
    private static InetSocketAddress listenAddress(String text) {
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
            operatorListener.start();
            callerListener.start();
            if (peerEndpoint != null) {
                peerEndpoint.start();
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new GatewayException("the start was interrupted", exception);
        } catch (IOException | RuntimeException exception) {
            throw new GatewayException("an address cannot be listened on: " + exception.getMessage(), exception);
        }
        state = GatewayState.RUNNING;
        auditTrail.recordLifecycleEvent("started", "start");
        long tickIntervalNanoseconds =
                settings.fleet() == null ? HostCore.MAXIMUM_TICK_INTERVAL_NANOSECONDS : FLEET_TICK_INTERVAL_NANOSECONDS;
        eventLoopGroup.next().scheduleAtFixedRate(this::tick, 0, tickIntervalNanoseconds, TimeUnit.NANOSECONDS);
        long reloadIntervalMilliseconds = ReloadingTls.RELOAD_INTERVAL.toMillis();
        eventLoopGroup
                .next()
                .scheduleWithFixedDelay(
                        this::reloadTls, reloadIntervalMilliseconds, reloadIntervalMilliseconds, TimeUnit.MILLISECONDS);
        feeds.start();
    }

    /**
     * Tells the core that time passed.
     */
    private void tick() {
        try {
            long pausedNanoseconds = pauseDetector.recordTick(System.nanoTime());
            if (pausedNanoseconds > 0) {
                auditTrail.recordLifecycleEvent(
                        "resumed",
                        "the process did not run for " + TimeUnit.NANOSECONDS.toMillis(pausedNanoseconds) + " ms");
                driver.handle(new Event.Resumed(pausedNanoseconds));
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
        boolean handled = exchanges.perform(decision)
                || healthChecks.perform(decision)
                || publicationReader.perform(decision)
                || peerEndpoint != null && peerEndpoint.perform(decision);
        if (handled) {
            return;
        }
        if (decision instanceof Decision.Apply apply) {
            Configuration configuration = apply.configuration().configuration();
            callerListener.setRefusalSignals(
                    path -> configuration.serviceFor(path).map(Service::refusal).orElse(RefusalSignal.NONE));
        } else if (decision instanceof Decision.UseServers use) {
            connections.apply(use.servers());
        } else if (decision instanceof Decision.Watch watch) {
            feeds.watch(watch.withoutPause());
        } else if (decision instanceof Decision.Audit change) {
            auditTrail.record(change.change());
        }
    }

    /**
     * Takes over changed settings: the publisher and the seeds of the fleet at once, others after the next start.
     *
     * @param changed the settings
     * @param cause why they were read
     */
    public void reload(GatewaySettings changed, String cause) {
        GatewaySettings.Fleet currentFleet = settings.fleet();
        GatewaySettings.Fleet changedFleet = changed.fleet();
        if (currentFleet != null && changedFleet != null) {
            publicationReader.setPublisher(changedFleet.publisher());
            driver.handle(new Event.SeedsChanged(changedFleet.seeds()));
        }
        boolean onlyFleetChanged = changed.withFleet(currentFleet).equals(settings);
        auditTrail.recordLifecycleEvent(
                "reloaded",
                cause + (onlyFleetChanged ? "" : "; other settings than the fleet take effect at the next start"));
    }

    /**
     * Records a step of the process's own life.
     *
     * @param event the step
     * @param cause why it happened
     */
    public void recordLifecycleEvent(String event, String cause) {
        auditTrail.recordLifecycleEvent(event, cause);
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
        ObjectNode status = driver.read(core ->
                printer.status(settings.name(), state.toString(), core, System.nanoTime(), auditTrail.latest()));
        feeds.print(status);
        return status.toPrettyString();
    }

    /**
     * Prints the latest steps of the decision core.
     *
     * @return the trace as JSON lines
     */
    public String trace() {
        return new TraceFormat().write(traceRecorder.trace());
    }

    /**
     * Returns the port that callers connect to.
     *
     * @return the port
     */
    public int callerPort() {
        return callerListener.port();
    }

    /**
     * Returns the port that operators connect to.
     *
     * @return the port
     */
    public int operatorPort() {
        return operatorListener.port();
    }

    /**
     * Returns the port that other gateways connect to.
     *
     * @return the port, zero if this one exchanges nothing with others
     */
    public int peerPort() {
        return peerEndpoint == null ? 0 : peerEndpoint.port();
    }

    /**
     * Ends a stop at once instead of waiting for open exchanges.
     */
    public void skipDrain() {
        drainSkipped = true;
    }

    /**
     * Stops the gateway: withdraws readiness, lingers, stops listening, waits for open exchanges and closes.
     *
     * @return the number of exchanges that were cut
     * @throws InterruptedException if the thread is interrupted
     */
    public int stop() throws InterruptedException {
        long start = System.nanoTime();
        callerListener.announceStop();
        state = GatewayState.STOPPING;
        auditTrail.recordLifecycleEvent("stopping", "stop was asked for");
        driver.handle(new Event.StopRequested());
        waitUntil(start + settings.drain().linger().toNanos(), false);
        callerListener.stop();
        waitUntil(start + settings.drain().deadline().toNanos(), true);
        int cut = exchanges.openExchanges();
        feeds.stop();
        publicationReader.stop();
        if (peerEndpoint != null) {
            peerEndpoint.stop();
        }
        operatorListener.stop();
        connections.close();
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        state = GatewayState.STOPPED;
        auditTrail.recordLifecycleEvent("stopped", cut + " exchanges were cut");
        return cut;
    }

    /**
     * Waits until a time, until a hurry, or until no exchange is open.
     *
     * @param deadlineNanoseconds the time in nanoseconds
     * @param untilNoOpenExchange whether to end once no exchange is open
     * @throws InterruptedException if the thread is interrupted
     */
    private void waitUntil(long deadlineNanoseconds, boolean untilNoOpenExchange) throws InterruptedException {
        while (System.nanoTime() - deadlineNanoseconds < 0 && !drainSkipped) {
            if (untilNoOpenExchange && exchanges.openExchanges() == 0) {
                return;
            }
            Thread.sleep(STOP_POLL_INTERVAL_MILLISECONDS);
        }
    }
}
