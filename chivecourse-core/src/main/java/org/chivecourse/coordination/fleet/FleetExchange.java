package org.chivecourse.coordination.fleet;

import java.util.List;
import org.chivecourse.coordination.call.ServiceRegistry;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.fleet.DigestComposer.Content;
import org.chivecourse.coordination.forward.ForwardingPeers;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.coordination.poison.PoisonRequests;
import org.chivecourse.coordination.publication.PublishedState;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.fleet.Member;
import org.chivecourse.state.fleet.Observation;
import org.chivecourse.state.publication.PublicationRevision;

/**
 * Exchanges digests with the other gateways of a fleet that is discovered through seeds, and applies what they report.
 *
 * <p>Gateways of the same data centre exchange digests several times a second, those of different data centres about
 * once a second. Only a few gateways read from the publisher. They broadcast changes immediately, and a gateway that
 * misses one pulls it from a gateway whose digest shows a higher revision.
 */
public final class FleetExchange {

    /**
     * The longest time after the start for which a gateway does not serve because a peer reports a higher revision, in
     * nanoseconds.
     */
    private static final long CATCH_UP_TIMEOUT_NANOSECONDS = 1_500_000_000L;

    /**
     * The longest time after its first listing for which a gateway does not serve because no seed has replied, in
     * nanoseconds. A seed may know a configuration that the publisher lost.
     */
    private static final long SEED_REPLY_TIMEOUT_NANOSECONDS = 50_000_000L;

    /** The number of nanoseconds in a second, which is also the interval between two removals of silent peers. */
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

    /** The settings of this host. */
    private final HostSettings settings;

    /** The other gateways of the fleet. */
    private final FleetPeers peers;

    /** The published items, decoded into the registry of backend servers and the configuration. */
    private final PublishedState publishedState;

    /** Exchanges published items with the other gateways. */
    private final PublicationSpread spread;

    /** The calls that read from the publisher. */
    private final PublisherReads publisherReads;

    /** The other gateways that take calls which this one cannot send. */
    private final ForwardingPeers forwardingPeers;

    /** The request limits of backend servers. */
    private final RequestLimitExchange requestLimits;

    /** The warm-ups of backend servers. */
    private final WarmUpExchange warmUps;

    /** Composes the digests of this gateway. */
    private final DigestComposer composer;

    /** Sends digests when they are due. */
    private final DigestSchedule schedule;

    /** The services of the configuration in force. */
    private final ServiceRegistry services;

    /** Applies what other gateways report of suspected requests. */
    private final SuspicionReports suspicions;

    /** What data centres tell each other of their room and needs. */
    private final CrossingExchange crossings;

    /** The time of the first event, in nanoseconds. */
    private long startedAt;

    /** Whether an event has occurred. */
    private boolean started;

    /** The time until which this gateway waits for a reply of a seed before it serves, in nanoseconds. */
    private long awaitsSeedUntil = Long.MIN_VALUE / 2;

    /** The time at which silent peers were last removed, in nanoseconds. */
    private long lastCleanupAt;

    /** Whether this gateway is stopping, so that it no longer watches the publisher. */
    private boolean stopping;

    /**
     * Creates an exchange without peers.
     *
     * @param settings the settings of this host
     * @param publishedState the published items, decoded into the registry of backend servers and the configuration
     * @param services the services of the configuration in force
     * @param poisonRequests the requests that are suspected or blocked because backend servers crashed on them
     * @param forwardingPeers the other gateways that take calls which this one cannot send
     */
    public FleetExchange(
            HostSettings settings,
            PublishedState publishedState,
            ServiceRegistry services,
            PoisonRequests poisonRequests,
            ForwardingPeers forwardingPeers) {
        this.settings = settings;
        this.publishedState = publishedState;
        this.services = services;
        suspicions = new SuspicionReports(services, poisonRequests);
        this.forwardingPeers = forwardingPeers;
        boolean keepsCallsNearby = settings.fleet().crossing() != null;
        peers = new FleetPeers(
                new Member(settings.name(), settings.fleet().address(), settings.dataCentre()),
                keepsCallsNearby ? BridgeElection.FEW : BridgeElection.INSTANCE);
        crossings = new CrossingExchange(peers, services, keepsCallsNearby);
        publisherReads = new PublisherReads(peers, publishedState);
        requestLimits = new RequestLimitExchange(peers, services);
        warmUps = new WarmUpExchange(peers, services, this::hasOtherSeeds);
        composer = new DigestComposer(settings, peers, poisonRequests);
        spread = new PublicationSpread(peers, publishedState, this::composeDigest);
        schedule = new DigestSchedule(
                settings, peers, services.observations(), requestLimits, warmUps, crossings, this::composeDigest);
    }

    /**
     * Replaces the seeds through which this gateway discovers the fleet.
     *
     * @param addresses the addresses of the seeds; some of them may no longer belong to a gateway
     */
    public void replaceSeeds(List<String> addresses) {
        schedule.replaceSeeds(addresses);
    }

    /**
     * Reports to all live peers in a digest that this gateway is stopping, and stops watching the publisher.
     *
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    public void announceStopping(long now, DecisionSink sink) {
        stopping = true;
        composer.markStopping();
        DigestSchedule.send(peers.live(now), composeDigest(Content.STATUS_ONLY, now), now, sink);
    }

    /**
     * Sends the digests that are due, starts or times out calls to the publisher, and removes expired peers and backend
     * servers.
     *
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    public void runDueTasks(long now, DecisionSink sink) {
        if (!started) {
            started = true;
            startedAt = now;
        }
        if (now - lastCleanupAt >= NANOSECONDS_PER_SECOND) {
            lastCleanupAt = now;
            peers.removeSilent(now);
        }
        requestLimits.assignSenders(now);
        warmUps.assignSenders(now);
        crossings.auditNeeds(now, sink);
        if (forwardingPeers.update(peers.live(now), now)) {
            sink.decide(new Decision.UseServers(services.backendServers()));
        }
        schedule.sendDueDigests(now, sink);
        publisherReads.startDueCall(!stopping, now, sink);
        publisherReads.auditReachability(sink);
        publishedState.removeExpiredServers(now, sink);
        spread.startDuePull(now, sink);
    }

    /**
     * Reports an answer of the publisher to the other gateways that would read if there was none. An answer with
     * changes needs no report, since the changes are told.
     *
     * @param previousRevision the revision before the answer
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    private void reportAnswer(long previousRevision, long now, DecisionSink sink) {
        if (publishedState.revision() != previousRevision) {
            return;
        }
        DigestSchedule.send(
                StandbyReaders.INSTANCE.others(peers, now), composeDigest(Content.STATUS_ONLY, now), now, sink);
    }

    /**
     * Sends pending observations on which the next choices of other gateways depend.
     *
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    public void sendUrgentObservations(long now, DecisionSink sink) {
        schedule.sendUrgentObservations(now, sink);
    }

    /**
     * Applies a digest: published items, observations, crashes and blocked requests. Observations from a gateway of
     * this data centre are queued for other data centres, those from another data centre for this one. A digest that is
     * not new is ignored.
     *
     * @param digest the digest
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    public void receiveDigest(FleetDigest digest, long now, DecisionSink sink) {
        FleetPeer sender = peers.accept(digest, now);
        if (sender == null) {
            return;
        }
        if (digest.replyRequested()) {
            Content reply = Content.REPLY.withWarmUps(warmUps.repeat(now));
            DigestSchedule.send(List.of(sender), composeDigest(reply, now), now, sink);
        }
        publisherReads.recordReport(digest.publisherStatus(), now);
        boolean local = peers.isLocal(sender);
        spread.receive(digest, local, now, sink);
        for (Observation observation : digest.observations()) {
            services.applyObservation(observation, now, sink);
            if (local) {
                services.observations().addForRemote(observation);
            } else {
                services.observations().addForLocal(observation);
            }
        }
        requestLimits.apply(digest, now, sink);
        warmUps.apply(digest, local);
        crossings.receive(digest, local, now);
        suspicions.apply(digest, now, sink);
    }

    /**
     * Applies published items that were pulled from another gateway.
     *
     * @param event the pulled items
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    public void applyPulledChanges(Event.PublicationPulled event, long now, DecisionSink sink) {
        spread.applyPulled(event, now, sink);
    }

    /**
     * Records that a pull from another gateway failed.
     *
     * @param event the failure
     * @param now the current time in nanoseconds
     */
    public void recordPullFailure(Event.PullFailed event, long now) {
        spread.recordPullFailure(event.name(), now);
    }

    /**
     * Replaces the published items by a complete listing from the publisher. The result of a call that was cancelled is
     * ignored.
     *
     * @param event the listing
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    public void applyListing(Event.PublicationListed event, long now, DecisionSink sink) {
        if (!publisherReads.completeCall(event.call(), List.of(), now)) {
            return;
        }
        long previousRevision = publishedState.revision();
        if (previousRevision == 0) {
            awaitsSeedUntil = now + SEED_REPLY_TIMEOUT_NANOSECONDS;
        }
        publishedState.replace(event.items(), event.revision(), PublicationSpread.PUBLISHER, now, sink);
        spread.broadcast(previousRevision, now, sink);
        reportAnswer(previousRevision, now, sink);
    }

    /**
     * Applies changes that the publisher returned to a watch. The result of a call that was cancelled is ignored. An
     * answer of a later epoch lacks what the publisher lost, so that all items have to be listed.
     *
     * @param event the changes
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    public void applyWatchedChanges(Event.PublicationChanged event, long now, DecisionSink sink) {
        if (!PublicationRevision.sameEpoch(event.after(), event.revision())) {
            boolean restored = event.revision() > event.after();
            recordReadFailure(new Event.PublicationFailed(event.call(), restored, "answer of another epoch"), now);
            runDueTasks(now, sink);
            return;
        }
        if (!publisherReads.completeCall(event.call(), event.items(), now)) {
            return;
        }
        long previousRevision = publishedState.revision();
        publishedState.applyChanges(
                new FleetDigest.Changes(event.after(), event.revision(), event.items()),
                PublicationSpread.PUBLISHER,
                now,
                sink);
        spread.broadcast(previousRevision, now, sink);
        runDueTasks(now, sink);
        reportAnswer(previousRevision, now, sink);
    }

    /**
     * Records that a call to the publisher failed.
     *
     * @param event the failure
     * @param now the current time in nanoseconds
     */
    public void recordReadFailure(Event.PublicationFailed event, long now) {
        publisherReads.failCall(event, now);
    }

    /**
     * Composes a digest with the current publisher status of this gateway.
     *
     * @param content what the digest holds beyond the status of this gateway
     * @param now the current time in nanoseconds
     * @return the digest
     */
    private FleetDigest composeDigest(Content content, long now) {
        return composer.compose(
                content,
                publisherReads.status(now),
                publishedState.registry().size() > 0 && !services.links().anyLost(),
                now);
    }

    /**
     * Returns whether a recently started gateway still waits for published items that a live peer already has.
     *
     * @param now the current time in nanoseconds
     * @return {@code true} if the gateway should not serve yet for that reason
     */
    public boolean catchingUp(long now) {
        if (now - startedAt >= CATCH_UP_TIMEOUT_NANOSECONDS) {
            return false;
        }
        List<FleetPeer> live = peers.live(now);
        if (live.isEmpty()) {
            return schedule.hasOtherSeeds() && now - awaitsSeedUntil < 0;
        }
        for (FleetPeer peer : live) {
            if (mayKnowMore(peer.latestDigest().publisherStatus())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether another gateway has newer items, or a configuration that the publisher lost, or has yet to find
     * out whether it has one.
     */
    private boolean mayKnowMore(FleetDigest.PublisherStatus status) {
        long peerEpoch = PublicationRevision.epoch(status.revision());
        boolean inEarlierEpoch = peerEpoch > 0 && peerEpoch < PublicationRevision.epoch(publishedState.revision());
        return status.revision() > publishedState.revision()
                || status.retainedConfiguration() > publishedState.configurationRevision()
                || inEarlierEpoch;
    }

    /**
     * Returns whether this gateway can expect published items soon.
     *
     * @return {@code false} if gateways discover each other in another way, or the publisher does not answer
     */
    public boolean awaitsItems() {
        return settings.fleet().enabled() && publisherReads.reachable();
    }

    /**
     * Returns whether other gateways have newer published items, which this one is about to receive.
     *
     * @param now the current time in nanoseconds
     * @return {@code true} if it fell behind a short time ago
     */
    public boolean outdated(long now) {
        return spread.outdated(now);
    }

    /** Returns whether this gateway knows a seed that is not itself. */
    private boolean hasOtherSeeds() {
        return schedule.hasOtherSeeds();
    }

    /** Returns the other gateways of the fleet. */
    public FleetPeers peers() {
        return peers;
    }
}
