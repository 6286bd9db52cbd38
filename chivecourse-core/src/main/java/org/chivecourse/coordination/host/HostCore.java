package org.chivecourse.coordination.host;

import java.util.List;
import java.util.random.RandomGenerator;
import org.chivecourse.configuration.format.LoadedConfiguration;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.rule.Finding;
import org.chivecourse.coordination.call.CallCoordinator;
import org.chivecourse.coordination.call.ServiceRegistry;
import org.chivecourse.coordination.call.StartupCalls;
import org.chivecourse.coordination.configuration.ConfigurationRegistry;
import org.chivecourse.coordination.configuration.ConfigurationStatus;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.fleet.FleetExchange;
import org.chivecourse.coordination.forward.ForwardingPeers;
import org.chivecourse.coordination.measure.AssignedProbes;
import org.chivecourse.coordination.membership.Membership;
import org.chivecourse.coordination.membership.PeerExchange;
import org.chivecourse.coordination.ownership.KeyOwnership;
import org.chivecourse.coordination.poison.PoisonRequests;
import org.chivecourse.coordination.publication.Publication;
import org.chivecourse.coordination.publication.PublicationDecoder;
import org.chivecourse.coordination.publication.PublishedState;
import org.chivecourse.coordination.reservation.Reservations;

/**
 * The entry point of a gateway's decision core.
 *
 * <p>The core performs no I/O, starts no threads and reads no clock. Its driver passes in one event at a time, with the
 * time in nanoseconds of a single monotonic clock, and executes the resulting decisions in order.
 */
public final class HostCore {

    /** The longest time between two {@link Event.TimePassed} events, in nanoseconds. */
    public static final long MAXIMUM_TICK_INTERVAL_NANOSECONDS = 5_000_000;

    /** The settings of this gateway, which do not change while it runs. */
    private final HostSettings settings;

    /** Selects the configuration in force among those that were received. */
    private final ConfigurationRegistry configurations = new ConfigurationRegistry();

    /** The services of the configuration in force and the state of their backend servers. */
    private final ServiceRegistry services;

    /** Coordinates the calls that have no final answer yet. */
    private final CallCoordinator calls;

    /** The requests that arrived before the first configuration. */
    private final StartupCalls startupCalls;

    /** The other gateways that the platform's host list names. */
    private final Membership membership;

    /** Ensures that the request of an idempotency key runs at most once across all hosts. */
    private final KeyOwnership keyOwnership;

    /**
     * Exchanges digests with the gateways of the host list; used if gateways do not discover each other through seeds.
     */
    private final PeerExchange peerExchange;

    /** The configuration and backend servers that the platform publishes. */
    private final PublishedState publishedState;

    /** Exchanges digests with the gateways of a fleet that is discovered through seeds. */
    private final FleetExchange fleetExchange;

    /** Whether the gateway has started to serve, which is never reset; see {@link #serves}. */
    private boolean serving;

    /** The other gateways that take calls which this one cannot send. */
    private final ForwardingPeers forwardingPeers;

    /** Monitors backend servers by health checks and probes. */
    private final ServerMonitor serverMonitor;

    /**
     * Creates a core without a configuration, for a platform that publishes no items.
     *
     * @param settings the settings of the gateway
     * @param random the source of randomness; seeded in tests and replays, so that decisions can be reproduced
     */
    public HostCore(HostSettings settings, RandomGenerator random) {
        this(settings, random, PublicationDecoder.Disabled.INSTANCE);
    }

    /**
     * Creates a core without a configuration.
     *
     * @param settings the settings of the gateway
     * @param random the source of randomness; seeded in tests and replays, so that decisions can be reproduced
     * @param decoder decodes published items
     */
    public HostCore(HostSettings settings, RandomGenerator random, PublicationDecoder decoder) {
        this.settings = settings;
        publishedState = new PublishedState(decoder, new PublicationListener());
        forwardingPeers = new ForwardingPeers(settings);
        services = new ServiceRegistry(
                settings, publishedState.registry(), publishedState.evacuations(), forwardingPeers, random);
        membership = new Membership(settings, random);
        keyOwnership = new KeyOwnership(settings, membership);
        PoisonRequests poisonRequests = new PoisonRequests();
        fleetExchange = new FleetExchange(settings, publishedState, services, poisonRequests, forwardingPeers);
        calls = new CallCoordinator(
                settings, services, keyOwnership, forwardingPeers, poisonRequests, fleetExchange.peers(), random);
        startupCalls = new StartupCalls(services);
        peerExchange = new PeerExchange(settings, membership, configurations, services, poisonRequests);
        AssignedProbes assignedProbes =
                settings.fleet().enabled() ? new AssignedProbes(settings, services, fleetExchange.peers()) : null;
        serverMonitor = new ServerMonitor(services, assignedProbes);
    }

    /**
     * Handles an event.
     *
     * @param event the event
     * @param now the time in nanoseconds, never less than in the previous invocation
     * @param sink receives the resulting decisions in the order in which to execute them
     */
    public void handle(Event event, long now, DecisionSink sink) {
        startupCalls.recordStart(now);
        keyOwnership.recordEvent(now);
        calls.crashDetector().findCrashes(now, sink);
        apply(event, now, sink);
        startHeldCalls(now, sink);
        calls.crashDetector().recordEnds(now);
        calls.reservations().settle(now, sink);
        if (settings.fleet().enabled()) {
            fleetExchange.sendUrgentObservations(now, sink);
        }
    }

    /** Applies an event. */
    private void apply(Event event, long now, DecisionSink sink) {
        if (event instanceof Event.CallArrived arrived) {
            handleArrival(arrived, now, sink);
        } else if (event instanceof Event.AttemptReady ready) {
            calls.attemptOutcomes().handleReady(ready.attempt(), now, sink);
        } else if (event instanceof Event.AnswerStarted started) {
            calls.attemptOutcomes().handleAnswerStarted(started, now, sink);
        } else if (event instanceof Event.AnswerCompleted completed) {
            calls.attemptOutcomes().handleAnswerCompleted(completed.attempt(), now, sink);
        } else if (event instanceof Event.AttemptUnsent unsent) {
            calls.attemptOutcomes().handleUnsent(unsent, now, sink);
        } else if (event instanceof Event.AttemptBroken broken) {
            calls.attemptOutcomes().handleBroken(broken, now, sink);
        } else if (event instanceof Event.CallerDisconnected disconnected) {
            startupCalls.remove(disconnected.call());
            calls.handleCallerDisconnect(disconnected.call(), now, sink);
        } else if (event instanceof Event.TimePassed) {
            handleTimePassed(now, sink);
        } else if (event instanceof Event.SlotRequested requested) {
            calls.reservations().handleRequest(requested.request(), requested.address(), now, sink);
        } else if (event instanceof Event.SlotReplied replied) {
            calls.reservations().handleReply(replied.reply(), replied.address(), now, sink);
        } else if (event instanceof Event.SlotReleased released) {
            calls.reservations().handleRelease(released.release(), now, sink);
        } else if (!handlePublicationEvent(event, now, sink)) {
            handleHostEvent(event, now, sink);
        }
    }

    /** Starts the call of a request, or holds the request if the first configuration is about to arrive. */
    private void handleArrival(Event.CallArrived arrived, long now, DecisionSink sink) {
        boolean held = !serves(now) && fleetExchange.awaitsItems() && startupCalls.hold(arrived, now);
        if (!held) {
            calls.handleArrival(arrived, configurationStatus(now), now, sink);
        }
    }

    /** Starts the calls of the requests that were held, once there is a configuration, and refuses overdue ones. */
    private void startHeldCalls(long now, DecisionSink sink) {
        List<Event.CallArrived> due = serves(now) ? startupCalls.pollAll(now) : startupCalls.pollExpired(now);
        for (Event.CallArrived arrived : due) {
            calls.handleArrival(arrived, configurationStatus(now), now, sink);
        }
    }

    /** Performs the periodic work: timeouts and hedges of calls, health checks, probes and digests. */
    private void handleTimePassed(long now, DecisionSink sink) {
        calls.advanceTime(now, sink);
        services.links().update(now, sink);
        services.warmUps().scan(now, sink);
        serverMonitor.handleTimePassed(now, sink);
        if (settings.fleet().enabled()) {
            fleetExchange.runDueTasks(now, sink);
            services.updateHostCount(fleetExchange.peers().fleetSize());
        } else {
            peerExchange.sendDueDigests(now, sink);
        }
    }

    /**
     * Handles an event about published items or about a fleet whose gateways discover each other through seeds.
     *
     * @param event the event
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     * @return {@code false} if the event is of another kind and was not handled
     */
    private boolean handlePublicationEvent(Event event, long now, DecisionSink sink) {
        if (event instanceof Event.FleetDigestArrived arrived) {
            fleetExchange.receiveDigest(arrived.digest(), now, sink);
        } else if (event instanceof Event.PublicationChanged changed) {
            fleetExchange.applyWatchedChanges(changed, now, sink);
        } else if (event instanceof Event.PublicationListed listed) {
            fleetExchange.applyListing(listed, now, sink);
        } else if (event instanceof Event.PublicationPulled pulled) {
            fleetExchange.applyPulledChanges(pulled, now, sink);
        } else if (event instanceof Event.PublicationFailed failed) {
            fleetExchange.recordReadFailure(failed, now);
        } else if (event instanceof Event.SeedsChanged changed) {
            fleetExchange.replaceSeeds(changed.seeds());
        } else if (event instanceof Event.Resumed) {
            fleetExchange.runDueTasks(now, sink);
        } else {
            return false;
        }
        return true;
    }

    /**
     * Handles an event that concerns the host as a whole: configurations, health checks, probes, other gateways,
     * idempotency keys and the end of the process.
     */
    private void handleHostEvent(Event event, long now, DecisionSink sink) {
        if (event instanceof Event.ConfigurationRead read) {
            peerExchange.finishPull();
            applyConfiguration(read.configuration(), read.source(), now, sink);
        } else if (event instanceof Event.ConfigurationRejected rejected) {
            recordRejection(rejected, sink);
        } else if (event instanceof Event.HealthChecked checked) {
            serverMonitor.handleHealthChecked(checked, now, sink);
            calls.useAvailableCapacity(now, sink);
        } else if (event instanceof Event.ProbeReady ready) {
            serverMonitor.handleProbeReady(ready.address(), now, sink);
        } else if (event instanceof Event.ProbeEnded ended) {
            serverMonitor.handleProbeEnded(ended, now, sink);
        } else if (event instanceof Event.HostsRead read) {
            membership.updateHostList(read.hosts(), now);
        } else if (event instanceof Event.DigestArrived arrived) {
            peerExchange.receiveDigest(arrived.digest(), now, sink);
        } else if (event instanceof Event.KeyAsked asked) {
            calls.keyedCalls().handleKeyQuestion(asked, now, sink);
        } else if (event instanceof Event.KeyReplied replied) {
            calls.keyedCalls().handleKeyReply(replied, now, sink);
        } else if (event instanceof Event.PullFailed failed) {
            peerExchange.finishPull();
            fleetExchange.recordPullFailure(failed, now);
        } else if (event instanceof Event.StopRequested stop) {
            peerExchange.markStopping();
            fleetExchange.announceStopping(now, sink);
            calls.beginStop(stop.closeAfterNanoseconds(), now, sink);
        }
    }

    /**
     * Applies a configuration if it supersedes the one in force, and audits a new conflict and the dangers found in an
     * applied configuration.
     */
    private void applyConfiguration(LoadedConfiguration configuration, String source, long now, DecisionSink sink) {
        long previousRevision = configurations.revision();
        String previousConflict = configurations.conflict();
        boolean applied = configurations.offer(configuration);
        if (!configurations.conflict().equals(previousConflict)) {
            sink.decide(configurationAudit("conflict", "", configurations.conflict(), source));
        }
        if (!applied) {
            return;
        }
        long revision = configurations.revision();
        sink.decide(configurationAudit("in force", Long.toString(previousRevision), Long.toString(revision), source));
        for (Finding danger : configuration.dangers()) {
            sink.decide(configurationAudit("danger", "", danger.problem(), source));
        }
        Configuration changed = configuration.printed().configuration();
        publishedState.evacuations().configure(changed.evacuatedDataCentres(), revision, source, now, sink);
        services.apply(changed, now);
        sink.decide(new Decision.Apply(configuration.printed()));
        sink.decide(new Decision.UseServers(services.backendServers()));
        calls.useAvailableCapacity(now, sink);
    }

    /** Audits the rejection of a configuration, unless the previous one was rejected for the same reason. */
    private void recordRejection(Event.ConfigurationRejected event, DecisionSink sink) {
        if (event.reason().equals(configurations.rejection())) {
            return;
        }
        configurations.recordRejection(event.reason());
        sink.decide(configurationAudit("rejected", "", event.reason(), event.source()));
    }

    /**
     * Creates the audit record of a change of the configuration.
     *
     * @param name the kind of change
     * @param from the previous value
     * @param to the new value
     * @param cause the source of the configuration
     * @return the audit decision
     */
    private Decision configurationAudit(String name, String from, String to, String cause) {
        return new Decision.Audit(
                new Decision.Change(Decision.Subject.CONFIGURATION, name, from, to, cause, configurations.revision()));
    }

    /** Returns the registry that holds the configuration in force. */
    public ConfigurationRegistry configurations() {
        return configurations;
    }

    /** Returns the slots that are reserved for calls. */
    public Reservations reservations() {
        return calls.reservations();
    }

    /** Returns the services of the configuration in force. */
    public ServiceRegistry services() {
        return services;
    }

    /** Returns the component that ensures that the request of an idempotency key runs at most once across all hosts. */
    public KeyOwnership keyOwnership() {
        return keyOwnership;
    }

    /** Returns the other gateways that the platform's host list names. */
    public Membership membership() {
        return membership;
    }

    /** Returns the exchange of digests with a fleet whose gateways discover each other through seeds. */
    public FleetExchange fleetExchange() {
        return fleetExchange;
    }

    /** Returns the configuration and backend servers that the platform publishes. */
    public PublishedState publishedState() {
        return publishedState;
    }

    /**
     * Returns whether callers may be routed to this gateway: it serves, and has a way to backend servers, by its own
     * links or through another gateway.
     *
     * @param now the current time in nanoseconds
     * @return {@code true} if callers are better off here than elsewhere
     */
    public boolean takesCallers(long now) {
        return serves(now) && (!services.links().allLost() || forwardingPeers.available());
    }

    /**
     * Returns whether this gateway has started to serve.
     *
     * <p>The gateway starts to serve once a configuration is in force and it has caught up with its peers. In a fleet
     * whose gateways discover each other through seeds it also needs an announced backend server; with a host list, it
     * must first have received its peers' digests or have waited long enough for them. Once started, it keeps serving
     * even if it falls behind later.
     *
     * @param now the current time in nanoseconds
     * @return {@code true} once the gateway has started to serve
     */
    public boolean serves(long now) {
        if (serving || configurations.revision() == 0) {
            return serving;
        }
        serving = settings.fleet().enabled()
                ? publishedState.registry().size() > 0 && !fleetExchange.catchingUp(now)
                : membership.joined(now)
                        && !membership.catchingUp(configurations.revision(), configurations.digest(), now);
        return serving;
    }

    /** Returns what this gateway knows of the configuration by which it handles requests. */
    private ConfigurationStatus configurationStatus(long now) {
        if (!serves(now)) {
            return ConfigurationStatus.NONE;
        }
        return fleetExchange.outdated(now) ? ConfigurationStatus.OUTDATED : ConfigurationStatus.CURRENT;
    }

    /** Returns the requests that are suspected or blocked because backend servers crashed on them. */
    public PoisonRequests poisonRequests() {
        return calls.poisonRequests();
    }

    /** Returns the number of calls that have no final answer yet. */
    public int openCalls() {
        return calls.openCallCount();
    }

    /** Applies published configurations and backend servers. */
    private final class PublicationListener implements PublishedState.Listener {

        @Override
        public void onConfigurationPublished(
                Publication.PublishedConfiguration configuration, String source, long now, DecisionSink sink) {
            applyConfiguration(configuration.configuration(), source, now, sink);
        }

        @Override
        public void onServersChanged(long now, DecisionSink sink) {
            services.updateServers(now);
            sink.decide(new Decision.UseServers(services.backendServers()));
            calls.useAvailableCapacity(now, sink);
        }
    }
}
