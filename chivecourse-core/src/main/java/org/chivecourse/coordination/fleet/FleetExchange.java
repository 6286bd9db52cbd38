package org.chivecourse.coordination.fleet;

import java.util.List;
import org.chivecourse.coordination.call.ServiceRegister;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.fleet.DigestComposer.Content;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.coordination.poison.PoisonRequests;
import org.chivecourse.coordination.publication.PublicationPoller;
import org.chivecourse.coordination.publication.PublishedState;
import org.chivecourse.state.fleet.Crash;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.fleet.Member;
import org.chivecourse.state.fleet.Observation;
import org.chivecourse.state.publication.PublishedItem;

/**
 * Tells the other gateways of a fleet that finds itself what this one knows, and takes over what they know.
 *
 * <p>Gateways of the same data centre hear of each other several times a second, those of different ones about once a
 * second. Few gateways read from the publisher; they tell changes at once, and whoever misses one fetches it.
 */
public final class FleetExchange {

    /** The time for which a fetch of published items may take, in nanoseconds. */
    private static final long PULL_TIMEOUT_NANOSECONDS = 500_000_000L;

    /** The time for which a new gateway waits for published items that it has heard of, in nanoseconds. */
    private static final long CATCH_UP_TIMEOUT_NANOSECONDS = 1_500_000_000L;

    /** The largest size of published items in a digest, in bytes. */
    private static final int MAXIMUM_INLINE_CHANGES_BYTES = 800;

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

    /** The number of nanoseconds in a second. */
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

    /** What the core knows of its host. */
    private final HostSettings settings;

    /** The other gateways. */
    private final FleetPeers peers;

    /** What is published. */
    private final PublishedState publishedState;

    /** The reading from the publisher. */
    private final PublicationPoller poller = new PublicationPoller();

    /** Composes digests. */
    private final DigestComposer composer;

    /** Sends digests when they are due. */
    private final DigestSchedule schedule;

    /** The services of the configuration in force. */
    private final ServiceRegister services;

    /** The requests that crash backend servers. */
    private final PoisonRequests poisonRequests;

    /** The time of the first event, in nanoseconds. */
    private long startedAt;

    /** Whether there was an event. */
    private boolean started;

    /** The time of the last clean-up, in nanoseconds. */
    private long lastCleanupAt;

    /** The time of the last fetch, in nanoseconds. */
    private long pullStartedAt = Long.MIN_VALUE / 2;

    /** Whether this gateway is stopping. */
    private boolean stopping;

    /** Whether the publisher answered when it was last told. */
    private boolean reachableAtLastAudit = true;

    /**
     * Creates an exchange.
     *
     * @param settings what the core knows of its host
     * @param publishedState what is published
     * @param services the services of the configuration in force
     * @param poisonRequests the requests that crash backend servers
     */
    public FleetExchange(
            HostSettings settings,
            PublishedState publishedState,
            ServiceRegister services,
            PoisonRequests poisonRequests) {
        this.settings = settings;
        this.publishedState = publishedState;
        this.services = services;
        this.poisonRequests = poisonRequests;
        peers = new FleetPeers(new Member(settings.name(), settings.fleet().address(), settings.dataCentre()));
        composer = new DigestComposer(settings, peers, poisonRequests);
        schedule = new DigestSchedule(settings, peers, services.observations(), this::composeDigest);
    }

    /**
     * Takes over other gateways to find the fleet by.
     *
     * @param addresses the addresses of some gateways, which may be out of date
     */
    public void replaceSeeds(List<String> addresses) {
        schedule.replaceSeeds(addresses);
    }

    /**
     * Tells the others that this gateway is stopping.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void announceStopping(long now, DecisionSink sink) {
        stopping = true;
        composer.markStopping();
        DigestSchedule.send(peers.live(now), composeDigest(Content.STATUS_ONLY, now), now, sink);
    }

    /**
     * Sends what is due, and starts reads that are due.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
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
        schedule.sendDueDigests(now, sink);
        poller.startDueCall(
                () -> !stopping && PublicationWatcherElection.INSTANCE.isWatcher(peers, now),
                publishedState.revision(),
                now,
                sink);
        auditPublisherReachability(now, sink);
        publishedState.removeExpiredServers(now, sink);
    }

    /**
     * Records when the publisher stops answering and when it answers again.
     *
     * @param now the time in nanoseconds
     * @param sink receives the record
     */
    private void auditPublisherReachability(long now, DecisionSink sink) {
        if (poller.publisherReachable() == reachableAtLastAudit) {
            return;
        }
        reachableAtLastAudit = poller.publisherReachable();
        sink.decide(new Decision.Audit(new Decision.Change(
                Decision.Subject.PUBLISHER,
                settings.name(),
                reachableAtLastAudit ? "lost" : "reached",
                reachableAtLastAudit ? "reached" : "lost",
                "reads of published items",
                publishedState.revision())));
    }

    /**
     * Takes a digest over.
     *
     * @param digest the digest
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void receiveDigest(FleetDigest digest, long now, DecisionSink sink) {
        FleetPeer sender = peers.accept(digest, now);
        if (sender == null) {
            return;
        }
        if (digest.replyRequested()) {
            DigestSchedule.send(List.of(sender), composeDigest(Content.REPLY, now), now, sink);
        }
        if (digest.publisherStatus().lastAnswerAgeMilliseconds() >= 0) {
            publishedState
                    .outageDetector()
                    .recordAnswer(
                            now - digest.publisherStatus().lastAnswerAgeMilliseconds() * NANOSECONDS_PER_MILLISECOND);
        }
        boolean local = peers.isLocal(sender);
        applyDigestChanges(digest, local, now, sink);
        for (Observation observation : digest.observations()) {
            services.applyObservation(observation, now, sink);
            if (local) {
                services.observations().addForRemote(observation);
            } else {
                services.observations().addForLocal(observation);
            }
        }
        for (Crash crash : digest.crashes()) {
            poisonRequests.recordFailure(crash.fingerprint(), crash.server(), true, now);
        }
        digest.blockedRequests()
                .forEach((fingerprint, seconds) ->
                        poisonRequests.block(fingerprint, now + seconds * NANOSECONDS_PER_SECOND, now));
    }

    /**
     * Takes published items from a digest, and fetches those that are missing.
     *
     * @param digest the digest
     * @param local whether its sender stands in the same data centre
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void applyDigestChanges(FleetDigest digest, boolean local, long now, DecisionSink sink) {
        long previousRevision = publishedState.revision();
        if (digest.changes() != null) {
            publishedState.applyChanges(digest.changes(), digest.sender().name(), now, sink);
        }
        boolean forwards = BridgeElection.INSTANCE.mustForward(peers) && RelayElection.INSTANCE.isRelay(peers, now);
        if (!local && publishedState.revision() > previousRevision && forwards) {
            Content content = new Content(false, 0, List.of(), List.of(), digest.changes());
            DigestSchedule.send(peers.liveLocal(now), composeDigest(content, now), now, sink);
        }
        boolean senderAhead = digest.publisherStatus().revision() > publishedState.revision();
        if (senderAhead && now - pullStartedAt >= PULL_TIMEOUT_NANOSECONDS) {
            pullStartedAt = now;
            sink.decide(new Decision.PullPublication(
                    digest.sender().name(), digest.sender().address(), publishedState.revision()));
        }
    }

    /**
     * Takes published items that were fetched from another gateway.
     *
     * @param event the items
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void applyPulledChanges(Event.PublicationPulled event, long now, DecisionSink sink) {
        finishPull();
        publishedState.applyChanges(event.changes(), event.name(), now, sink);
    }

    /**
     * Notes that the fetch under way ended.
     */
    public void finishPull() {
        pullStartedAt = Long.MIN_VALUE / 2;
    }

    /**
     * Takes all published items from the publisher.
     *
     * @param event the items
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void applyListing(Event.PublicationListed event, long now, DecisionSink sink) {
        if (!poller.completeCall(event.call(), now)) {
            return;
        }
        publishedState.outageDetector().recordAnswer(now);
        long previousRevision = publishedState.revision();
        publishedState.replace(event.items(), event.revision(), "publisher", now, sink);
        broadcastChanges(previousRevision, now, sink);
    }

    /**
     * Takes changes from the publisher.
     *
     * @param event the changes
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void applyWatchedChanges(Event.PublicationChanged event, long now, DecisionSink sink) {
        if (!poller.completeCall(event.call(), now)) {
            return;
        }
        publishedState.outageDetector().recordAnswer(now);
        long previousRevision = publishedState.revision();
        publishedState.applyChanges(
                new FleetDigest.Changes(event.after(), event.revision(), event.items()), "publisher", now, sink);
        broadcastChanges(previousRevision, now, sink);
        runDueTasks(now, sink);
    }

    /**
     * Takes the failure of a read from the publisher.
     *
     * @param event the failure
     * @param now the time in nanoseconds
     */
    public void recordReadFailure(Event.PublicationFailed event, long now) {
        poller.failCall(event.call(), event.forgotten(), now);
    }

    /**
     * Tells all gateways at once of changes that this one has read from the publisher.
     *
     * @param previousRevision the revision that was known before
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void broadcastChanges(long previousRevision, long now, DecisionSink sink) {
        if (publishedState.revision() <= previousRevision || previousRevision == 0) {
            return;
        }
        FleetDigest.Changes changes = publishedState.changesAfter(previousRevision);
        int bytes = 0;
        for (PublishedItem item : changes.items()) {
            bytes += item.key().length() + (item.removed() ? 0 : item.value().length);
        }
        boolean fits = bytes <= MAXIMUM_INLINE_CHANGES_BYTES && changes.after() > 0;
        Content content = new Content(false, 0, List.of(), List.of(), fits ? changes : null);
        DigestSchedule.send(peers.live(now), composeDigest(content, now), now, sink);
    }

    /**
     * Returns what this gateway tells of itself.
     *
     * @param content what the digest holds besides
     * @param now the time in nanoseconds
     * @return the digest
     */
    private FleetDigest composeDigest(Content content, long now) {
        FleetDigest.PublisherStatus publisherStatus = new FleetDigest.PublisherStatus(
                publishedState.revision(),
                poller.publisherReachable(),
                poller.inFlight() && poller.succeededRecently(now),
                BridgeElection.INSTANCE.mustForward(peers)
                        ? publishedState.outageDetector().millisecondsSinceAnswer(now)
                        : poller.millisecondsSinceAnswer(now));
        return composer.compose(content, publisherStatus, now);
    }

    /**
     * Returns whether a new gateway has heard of published items that it may still get.
     *
     * @param now the time in nanoseconds
     * @return {@code true} if it does not serve yet for that reason
     */
    public boolean catchingUp(long now) {
        if (now - startedAt >= CATCH_UP_TIMEOUT_NANOSECONDS) {
            return false;
        }
        for (FleetPeer peer : peers.live(now)) {
            if (peer.latestDigest().publisherStatus().revision() > publishedState.revision()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the other gateways.
     *
     * @return the neighbours
     */
    public FleetPeers peers() {
        return peers;
    }
}
