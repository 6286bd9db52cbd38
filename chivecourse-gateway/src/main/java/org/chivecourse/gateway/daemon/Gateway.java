package org.chivecourse.gateway.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.time.Clock;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.RefusalSignal;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.coordination.call.GracefulStop;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.host.HostCore;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.coordination.transfer.LinkShare;
import org.chivecourse.gateway.audit.AuditTrail;
import org.chivecourse.gateway.environment.GatewayEnvironment;
import org.chivecourse.gateway.environment.PublicationReader;
import org.chivecourse.gateway.operator.CoreMetrics;
import org.chivecourse.gateway.operator.MemoryMetrics;
import org.chivecourse.gateway.operator.MetricsPrinter;
import org.chivecourse.gateway.operator.OperatorLimits;
import org.chivecourse.gateway.operator.OperatorListener;
import org.chivecourse.gateway.operator.StatusPrinter;
import org.chivecourse.gateway.settings.GatewaySettings;
import org.chivecourse.gateway.tls.ReloadingTls;
import org.chivecourse.gateway.tls.TlsException;
import org.chivecourse.protocol.trace.TraceFormat;
import org.chivecourse.protocol.trace.TraceRecorder;
import org.chivecourse.transport.crossing.CrossingMetrics;
import org.chivecourse.transport.driver.CoreDriver;
import org.chivecourse.transport.http.BackendConnections;
import org.chivecourse.transport.http.ExchangeMemory;
import org.chivecourse.transport.http.ExchangeMetrics;
import org.chivecourse.transport.http.ExchangeRegistry;
import org.chivecourse.transport.http.ServerChecks;
import org.chivecourse.transport.peer.PeerEndpoint;
import org.jboss.logging.Logger;
import reactor.netty.resources.LoopResources;

/** A gateway: accepts callers' requests, lets the decision core choose backend servers, and forwards their answers. */
public final class Gateway {

    /** Logs failures of the periodic tick. */
    private static final Logger LOGGER = Logger.getLogger(Gateway.class);

    /** The interval at which a stop polls the number of open requests, in milliseconds. */
    private static final long STOP_POLL_INTERVAL_MILLISECONDS = 5;

    /** The interval between two ticks of a gateway whose backend servers announce themselves, in nanoseconds. */
    private static final long FLEET_TICK_INTERVAL_NANOSECONDS = 20_000_000L;

    /** The settings that the gateway was started with. A reload does not replace them. */
    private final GatewaySettings settings;

    /** The event loops that connections and periodic tasks run on. */
    private final EventLoopGroup eventLoopGroup;

    /** Serializes access to the decision core and distributes its decisions. */
    private final CoreDriver driver;

    /** The connection pools to backend servers. */
    private final BackendConnections connections;

    /** The exchanges with callers that are not complete yet. */
    private final ExchangeRegistry exchanges;

    /** Carries out health checks and load probes of backend servers. */
    private final ServerChecks healthChecks;

    /** Accepts the requests of callers, and those that other gateways forward. */
    private final RequestListeners requestListeners;

    /** Serves the status, the metrics, the trace and the readiness. */
    private final OperatorListener operatorListener;

    /** Watches the configuration service and the host list, if the platform provides them. */
    private final PlatformFeeds feeds;

    /** Reads published items from the platform's publisher. */
    private final PublicationReader publicationReader;

    /** Exchanges digests with other gateways, {@code null} if no peers are configured. */
    private final PeerEndpoint peerEndpoint;

    /** Counts the bytes that cross between data centres. */
    private final CrossingMetrics crossings;

    /** The limits on the connections of all listeners. */
    private final ListenerLimits listenerLimits;

    /** Records changes for operators. */
    private final AuditTrail auditTrail;

    /** Keeps the latest steps of the decision core for {@code /trace}. */
    private final TraceRecorder traceRecorder;

    /** The TLS context for callers' connections. */
    private final ReloadingTls callerTls;

    /** The TLS context for connections to backend servers. */
    private final ReloadingTls backendTls;

    /** Detects pauses of the process, such as a suspended machine. */
    private final PauseDetector pauseDetector;

    /** The number of periodic ticks that the event loop has started. */
    private final AtomicLong ticks = new AtomicLong();

    /** The lifecycle state, changed by {@link #start()} and {@link #stop()}. */
    private volatile GatewayState state = GatewayState.STARTING;

    /** Whether a stop closes open exchanges immediately instead of waiting for them. */
    private volatile boolean drainSkipped;

    /**
     * Creates a gateway that uses the product's own header fields and reads no published items. It must be started
     * separately.
     *
     * @param settings the settings
     * @param seed the seed of the source of randomness
     * @param clock supplies the time of day
     * @throws GatewayException if the TLS files or the shared key cannot be used
     */
    public Gateway(GatewaySettings settings, long seed, Clock clock) throws GatewayException {
        this(settings, seed, clock, GatewayEnvironment.Default.INSTANCE);
    }

    /**
     * Creates a gateway for a platform. It must be started separately.
     *
     * @param settings the settings
     * @param seed the seed of the source of randomness
     * @param clock supplies the time of day
     * @param environment the platform's header fields, decoders, readers and log
     * @throws GatewayException if the TLS files or the shared key cannot be used
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
        MetricRegistry metrics = new MetricRegistry();
        crossings = new CrossingMetrics(metrics, settings.dataCentre());
        ExchangeMetrics exchangeMetrics = new ExchangeMetrics(metrics);
        long processBytes = Runtime.getRuntime().maxMemory();
        listenerLimits = ListenerLimits.of(settings, processBytes, environment.log(), metrics);
        ExchangeMemory memory = ExchangeMemory.ofProcess(
                processBytes,
                LinkShare.ofBandwidth(settings.http().linkBytesPerSecond()),
                settings.http(),
                exchangeMetrics,
                metrics);
        connections = new BackendConnections(
                settings.expectedHosts(),
                SettingsTranslation.httpSettings(settings),
                backendTls::context,
                loopResources,
                crossings,
                memory.answerHeads());
        exchanges = new ExchangeRegistry(
                driver,
                connections,
                exchangeMetrics,
                environment.headerDialect(),
                environment.log(),
                settings.http().maximumBodyBytes(),
                memory);
        healthChecks = new ServerChecks(
                driver, connections, environment.headerDialect(), SettingsTranslation.probeTimeout(settings));
        requestListeners = new RequestListeners(settings, callerTls, driver, exchanges, loopResources, listenerLimits);
        metrics.register("calls.open", (Gauge<Integer>) exchanges::openExchanges);
        CoreMetrics.register(metrics, driver);
        MemoryMetrics.register(metrics);
        operatorListener = new OperatorListener(
                SettingsTranslation.listenAddress(settings.operators().address()),
                this::ready,
                this::status,
                new MetricsPrinter(metrics),
                this::trace,
                loopResources,
                OperatorLimits.ofProcess(processBytes, settings.http(), listenerLimits.operators(), metrics));
        feeds = new PlatformFeeds(settings, driver, seed, clock);
        publicationReader = environment.createPublicationReader(settings, driver, loopResources);
        peerEndpoint =
                PeerEndpoints.create(settings, driver, metrics, crossings, eventLoopGroup, listenerLimits.peers());
        driver.setDecisionSink(this::perform);
    }

    /**
     * Starts the gateway. It becomes ready once a configuration is in force.
     *
     * @throws GatewayException if a listener cannot bind its address
     */
    public void start() throws GatewayException {
        try {
            operatorListener.start();
            requestListeners.start();
            if (peerEndpoint != null) {
                peerEndpoint.start();
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new GatewayException("interrupted while starting", exception);
        } catch (IOException | RuntimeException exception) {
            throw new GatewayException("cannot listen on a configured address: " + exception.getMessage(), exception);
        }
        state = GatewayState.RUNNING;
        auditTrail.recordLifecycleEvent("started", "start");
        long tickIntervalNanoseconds =
                settings.fleet() == null ? HostCore.MAXIMUM_TICK_INTERVAL_NANOSECONDS : FLEET_TICK_INTERVAL_NANOSECONDS;
        eventLoopGroup.next().scheduleAtFixedRate(this::tick, 0, tickIntervalNanoseconds, TimeUnit.NANOSECONDS);
        long tlsCheckIntervalMilliseconds = ReloadingTls.FILE_CHECK_INTERVAL.toMillis();
        eventLoopGroup
                .next()
                .scheduleWithFixedDelay(
                        this::reloadTls,
                        tlsCheckIntervalMilliseconds,
                        tlsCheckIntervalMilliseconds,
                        TimeUnit.MILLISECONDS);
        feeds.start();
    }

    /**
     * Reports elapsed time to the decision core, and the length of a pause if the process was not scheduled.
     *
     * <p>Exceptions and errors are logged and not thrown, because the executor would cancel the periodic task.
     */
    private void tick() {
        ticks.incrementAndGet();
        try {
            long pausedNanoseconds = pauseDetector.recordTick(System.nanoTime());
            if (pausedNanoseconds > 0) {
                auditTrail.recordLifecycleEvent(
                        "resumed",
                        "the process was paused for " + TimeUnit.NANOSECONDS.toMillis(pausedNanoseconds) + " ms");
                driver.handle(new Event.Resumed(pausedNanoseconds));
            }
            driver.handle(new Event.TimePassed());
        } catch (RuntimeException | Error failure) {
            LOGGER.error("periodic tick of the decision core failed", failure);
        }
    }

    /** Reloads TLS files that have changed. */
    private void reloadTls() {
        callerTls.reload();
        backendTls.reload();
    }

    /**
     * Carries out a decision of the core.
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
            requestListeners.setRefusalSignals(
                    path -> configuration.serviceFor(path).map(Service::refusal).orElse(RefusalSignal.NONE));
        } else if (decision instanceof Decision.UseServers use) {
            connections.apply(use.servers());
        } else if (decision instanceof Decision.Watch watch) {
            feeds.setLongPolling(watch.withoutPause());
        } else if (decision instanceof Decision.Audit audit) {
            auditTrail.record(audit.change());
        }
    }

    /**
     * Applies changed settings. The publisher and the seeds of the fleet take effect immediately, other settings at the
     * next start.
     *
     * @param changedSettings the settings that the file contains now
     * @param cause what triggered the reload, for the audit trail
     */
    public void reload(GatewaySettings changedSettings, String cause) {
        GatewaySettings.Fleet currentFleet = settings.fleet();
        GatewaySettings.Fleet changedFleet = changedSettings.fleet();
        if (currentFleet != null && changedFleet != null) {
            publicationReader.setPublisher(changedFleet.publisher());
            driver.handle(new Event.SeedsChanged(changedFleet.seeds()));
        }
        boolean onlyFleetChanged = changedSettings.withFleet(currentFleet).equals(settings);
        auditTrail.recordLifecycleEvent(
                "reloaded",
                cause + (onlyFleetChanged ? "" : "; settings other than the fleet's take effect at the next start"));
    }

    /**
     * Records an event of the process in the audit trail.
     *
     * @param event the event
     * @param cause what caused the event
     */
    public void recordLifecycleEvent(String event, String cause) {
        auditTrail.recordLifecycleEvent(event, cause);
    }

    /**
     * Returns whether the load balancer in front of the gateways may send callers to this one.
     *
     * @return {@code true} while the gateway runs and a configuration is in force
     */
    public boolean ready() {
        return state == GatewayState.RUNNING && driver.read(core -> core.takesCallers(System.nanoTime()));
    }

    /** Returns the number of calls that have no final answer yet. */
    public int openCalls() {
        return driver.read(HostCore::openCalls);
    }

    /** Returns the number of requests whose answers are not complete, including those that are still being read. */
    public int openRequests() {
        return requestListeners.openRequests();
    }

    /** Returns the number of periodic ticks so far, which stands still only if the event loop does. */
    public long ticks() {
        return ticks.get();
    }

    /** Returns the status as a JSON document for operators. */
    public String status() {
        StatusPrinter printer = new StatusPrinter();
        ObjectNode status = driver.read(core ->
                printer.status(settings.name(), state.toString(), core, System.nanoTime(), auditTrail.latest()));
        StatusPrinter.addCrossings(status.putObject("crossings"), crossings);
        listenerLimits.addStatus(status.putObject("connections"));
        feeds.addReplicaStatuses(status);
        return status.toPrettyString();
    }

    /** Returns the latest steps of the decision core as JSON lines. */
    public String trace() {
        return new TraceFormat().write(traceRecorder.trace());
    }

    /** Returns the port that callers connect to. */
    public int callerPort() {
        return requestListeners.callerPort();
    }

    /** Returns the port that operators connect to. */
    public int operatorPort() {
        return operatorListener.port();
    }

    /** Returns the port that other gateways connect to, zero if no peers are configured. */
    public int peerPort() {
        return peerEndpoint == null ? 0 : peerEndpoint.port();
    }

    /** Makes {@link #stop()} close open exchanges immediately, even if it is already waiting for them. */
    public void skipDrain() {
        drainSkipped = true;
    }

    /**
     * Stops the gateway in order: reports not ready, keeps serving for the linger time, stops listening, waits for open
     * requests until the drain deadline, shortly before which those without an answer get a final one, and closes
     * everything.
     *
     * @return the number of requests that were aborted
     * @throws InterruptedException if the thread is interrupted
     */
    public int stop() throws InterruptedException {
        long start = System.nanoTime();
        requestListeners.announceStop();
        state = GatewayState.STOPPING;
        auditTrail.recordLifecycleEvent("stopping", "a stop was requested");
        long closeAfterNanoseconds = settings.drain().deadline().toNanos();
        driver.handle(new Event.StopRequested(closeAfterNanoseconds));
        waitUntil(start + settings.drain().linger().toNanos(), false);
        requestListeners.stop();
        waitUntil(start + GracefulStop.answerAfterNanoseconds(closeAfterNanoseconds), true);
        requestListeners.endReading();
        waitUntil(start + closeAfterNanoseconds, true);
        int abortedRequests = requestListeners.openRequests();
        feeds.stop();
        publicationReader.stop();
        if (peerEndpoint != null) {
            peerEndpoint.stop();
        }
        operatorListener.stop();
        connections.close();
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        state = GatewayState.STOPPED;
        auditTrail.recordLifecycleEvent("stopped", abortedRequests + " open requests were aborted");
        return abortedRequests;
    }

    /**
     * Waits until a deadline. Returns earlier once {@link #skipDrain()} is called.
     *
     * @param deadlineNanoseconds the deadline on the scale of {@link System#nanoTime()}
     * @param untilNoOpenRequest whether to return as soon as no request is open
     * @throws InterruptedException if the thread is interrupted
     */
    private void waitUntil(long deadlineNanoseconds, boolean untilNoOpenRequest) throws InterruptedException {
        while (System.nanoTime() - deadlineNanoseconds < 0 && !drainSkipped) {
            if (untilNoOpenRequest && requestListeners.openRequests() == 0) {
                return;
            }
            Thread.sleep(STOP_POLL_INTERVAL_MILLISECONDS);
        }
    }
}
