package org.chivecourse.coordination.host;

import java.util.random.RandomGenerator;
import org.chivecourse.configuration.format.ReadConfiguration;
import org.chivecourse.configuration.rule.Finding;
import org.chivecourse.coordination.call.CallCoordinator;
import org.chivecourse.coordination.call.ServiceRegister;
import org.chivecourse.coordination.configuration.ConfigurationRegister;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.fleet.FleetExchange;
import org.chivecourse.coordination.measure.AssignedProbes;
import org.chivecourse.coordination.membership.Membership;
import org.chivecourse.coordination.membership.PeerExchange;
import org.chivecourse.coordination.ownership.KeyOwnership;
import org.chivecourse.coordination.poison.PoisonRequests;
import org.chivecourse.coordination.publication.Publication;
import org.chivecourse.coordination.publication.PublicationDecoder;
import org.chivecourse.coordination.publication.PublishedState;

/**
 * The entry to a host's decisions.
 *
 * <p>The core opens nothing, starts no thread and reads no clock: whoever drives it tells it each event with the time
 * in nanoseconds of one monotonic clock, one event at a time, and carries out the decisions in their order.
 */
public final class HostCore {

    /** The longest time between two {@link Event.TimePassed} events, in nanoseconds. */
    public static final long MAXIMUM_TICK_INTERVAL_NANOSECONDS = 5_000_000;

    /** What the core knows of its host. */
    private final HostSettings settings;

    /** The configuration in force. */
    private final ConfigurationRegister configurations = new ConfigurationRegister();

    /** The services of the configuration in force. */
    private final ServiceRegister services;

    /** The calls. */
    private final CallCoordinator calls;

    /** The other gateways that the platform lists. */
    private final Membership membership;

    /** The rule that the request of a key runs at most once over all hosts. */
    private final KeyOwnership keyOwnership;

    /** The exchange with the other gateways that the platform lists. */
    private final PeerExchange peerExchange;

    /** What is published. */
    private final PublishedState publishedState;

    /** The exchange with a fleet that finds itself. */
    private final FleetExchange fleetExchange;

    /** Whether the gateway has begun to serve. */
    private boolean serving;

    /** The watch of backend servers beyond the calls sent to them. */
    private final ServerMonitor serverMonitor;

    /**
     * Creates a core without a configuration, on a platform that publishes no items.
     *
     * @param settings what the core knows of its host
     * @param random the source of randomness
     */
    public HostCore(HostSettings settings, RandomGenerator random) {
        this(settings, random, PublicationDecoder.Disabled.INSTANCE);
    }

    /**
     * Creates a core without a configuration.
     *
     * @param settings what the core knows of its host
     * @param random the source of randomness
     * @param decoder decodes published items
     */
    public HostCore(HostSettings settings, RandomGenerator random, PublicationDecoder decoder) {
        this.settings = settings;
        publishedState = new PublishedState(decoder, new PublicationReceiver());
        services = new ServiceRegister(settings, publishedState.registry(), random);
        membership = new Membership(settings, random);
        keyOwnership = new KeyOwnership(settings, membership);
        calls = new CallCoordinator(settings, services, keyOwnership, random);
        peerExchange = new PeerExchange(settings, membership, configurations, services, calls.poisonRequests());
        fleetExchange = new FleetExchange(settings, publishedState, services, calls.poisonRequests());
        AssignedProbes assignedProbes =
                settings.fleet().enabled() ? new AssignedProbes(settings, services, fleetExchange.peers()) : null;
        serverMonitor = new ServerMonitor(services, assignedProbes);
    }

    /**
     * Handles an event.
     *
     * @param event the event
     * @param now the time in nanoseconds, never less than in the call before
     * @param sink receives the decisions that follow
     */
    public void handle(Event event, long now, DecisionSink sink) {
        keyOwnership.recordEvent(now);
        if (event instanceof Event.CallArrived arrived) {
            calls.handleArrival(arrived, serves(now), now, sink);
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
        } else if (event instanceof Event.CallerDisconnected left) {
            calls.handleCallerDisconnect(left.call(), now, sink);
        } else if (event instanceof Event.TimePassed) {
            handleTimePassed(now, sink);
        } else if (!handlePublicationEvent(event, now, sink)) {
            handleHostEvent(event, now, sink);
        }
    }

    /**
     * Starts and ends what is due.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void handleTimePassed(long now, DecisionSink sink) {
        calls.advanceTime(now, sink);
        serverMonitor.handleTimePassed(now, sink);
        if (settings.fleet().enabled()) {
            fleetExchange.runDueTasks(now, sink);
            services.updateHostCount(fleetExchange.peers().fleetSize());
        } else {
            peerExchange.sendDueDigests(now, sink);
        }
    }

    /**
     * Handles an event that concerns published items or a fleet that finds itself.
     *
     * @param event the event
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     * @return {@code false} if the event concerns something else
     */
    private boolean handlePublicationEvent(Event event, long now, DecisionSink sink) {
        if (event instanceof Event.FleetDigestArrived heard) {
            fleetExchange.receiveDigest(heard.digest(), now, sink);
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
     * Handles an event that concerns no single call.
     *
     * @param event the event
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
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
        } else if (event instanceof Event.PullFailed) {
            peerExchange.finishPull();
            fleetExchange.finishPull();
        } else if (event instanceof Event.StopRequested) {
            peerExchange.markStopping();
            fleetExchange.announceStopping(now, sink);
        }
    }

    /**
     * Puts a configuration in force if it is higher than the one that is.
     *
     * @param configuration the configuration
     * @param source where it comes from
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void applyConfiguration(ReadConfiguration configuration, String source, long now, DecisionSink sink) {
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
        services.apply(configuration.printed().configuration(), now);
        sink.decide(new Decision.Apply(configuration.printed()));
        sink.decide(new Decision.UseServers(services.backendServers()));
        calls.useAvailableCapacity(now, sink);
    }

    /**
     * Records that a configuration was rejected.
     *
     * @param event the reason and the source
     * @param sink receives the decisions that follow
     */
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
     * @param from the value before
     * @param to the value now
     * @param cause the source of the configuration
     * @return the decision
     */
    private Decision configurationAudit(String name, String from, String to, String cause) {
        return new Decision.Audit(
                new Decision.Change(Decision.Subject.CONFIGURATION, name, from, to, cause, configurations.revision()));
    }

    /**
     * Returns the configuration in force.
     *
     * @return the register of configurations
     */
    public ConfigurationRegister configurations() {
        return configurations;
    }

    /**
     * Returns the services of the configuration in force.
     *
     * @return the register of services
     */
    public ServiceRegister services() {
        return services;
    }

    /**
     * Returns the rule that the request of a key runs at most once over all hosts.
     *
     * @return the ownership of keys
     */
    public KeyOwnership keyOwnership() {
        return keyOwnership;
    }

    /**
     * Returns the other gateways that the platform lists.
     *
     * @return the membership
     */
    public Membership membership() {
        return membership;
    }

    /**
     * Returns the exchange with a fleet that finds itself.
     *
     * @return the exchange
     */
    public FleetExchange fleetExchange() {
        return fleetExchange;
    }

    /**
     * Returns what is published.
     *
     * @return the state
     */
    public PublishedState publishedState() {
        return publishedState;
    }

    /**
     * Returns whether callers may be sent to this gateway.
     *
     * @param now the time in nanoseconds
     * @return {@code true} if a configuration is in force that no peer has been heard to be ahead of at the start
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

    /**
     * Returns the requests that crash backend servers.
     *
     * @return the register
     */
    public PoisonRequests poison() {
        return calls.poisonRequests();
    }

    /**
     * Returns the number of calls that have no final answer yet.
     *
     * @return the number of calls
     */
    public int openCalls() {
        return calls.openCallCount();
    }

    /** Puts published configurations and backend servers in force. */
    private final class PublicationReceiver implements PublishedState.Listener {

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
