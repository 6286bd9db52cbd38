package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.List;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.fleet.DigestComposer.Content;
import org.chivecourse.coordination.publication.PublishedState;
import org.chivecourse.state.fleet.FleetDigest;

/**
 * Spreads published items through the fleet.
 *
 * <p>Digests carry small changes, and small differences of large items, to all gateways immediately. Of a larger change
 * only a few gateways are told, which pull it and tell a few others in turn. Regular digests name the revision of their
 * sender, which repairs what was lost.
 */
final class PublicationSpread {

    /** The source of items that this gateway read itself, for the audit log. */
    static final String PUBLISHER = "publisher";

    /** The maximum encoded size of the changes of published items that a digest carries, in bytes. */
    private static final int MAXIMUM_CARRIED_BYTES = 800;

    /** The number of gateways of the same data centre that are told of items that a digest cannot carry. */
    private static final int FAN_OUT = 3;

    /** The time without progress after which a gateway that is behind no longer counts as about to catch up. */
    private static final long CATCH_UP_NANOSECONDS = 5_000_000_000L;

    /** The other gateways of the fleet. */
    private final FleetPeers peers;

    /** The published items, decoded into the registry of backend servers and the configuration. */
    private final PublishedState publishedState;

    /** Composes the digests of this gateway. */
    private final DigestSchedule.Composer composer;

    /** Whether this gateway is behind others. */
    private final PublicationLag lag;

    /** The pulls of this gateway. */
    private final PublicationPulls pulls;

    /** Whether the next pull has to ask for all items, since changes did not fit what this gateway has. */
    private boolean wholeRequired;

    /**
     * The highest revision of a configuration that the publisher lost and another gateway has, according to the digests
     * since the last pull.
     */
    private long highestRetainedConfiguration;

    /** The highest revision of changes that were forwarded within this data centre. */
    private long forwardedRevision;

    /**
     * Creates an exchange of published items.
     *
     * @param peers the other gateways of the fleet
     * @param publishedState the published items, decoded into the registry of backend servers and the configuration
     * @param composer composes the digests of this gateway
     */
    PublicationSpread(FleetPeers peers, PublishedState publishedState, DigestSchedule.Composer composer) {
        this.peers = peers;
        this.publishedState = publishedState;
        this.composer = composer;
        lag = new PublicationLag(peers.self().name());
        pulls = new PublicationPulls(peers);
    }

    /**
     * Applies the published items of a digest, forwards new ones from another data centre within this one if this
     * gateway is the relay, and pulls missing items.
     *
     * @param digest the digest
     * @param local whether the sender is in the same data centre
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    void receive(FleetDigest digest, boolean local, long now, DecisionSink sink) {
        String sender = digest.sender().name();
        if (digest.changes() != null) {
            publishedState.applyChanges(digest.changes(), "carried by " + sender, now, sink);
            lag.recordOwn(publishedState.revision(), "carried by " + sender, now, sink);
        }
        forward(digest.changes(), local, now, sink);
        highestRetainedConfiguration =
                Math.max(highestRetainedConfiguration, digest.publisherStatus().retainedConfiguration());
        lag.recordPeer(sender, digest.publisherStatus().revision(), publishedState.revision(), now, sink);
        startDuePull(now, sink);
    }

    /**
     * Forwards changes from another data centre within this one, once, if this gateway is the relay. It does so also if
     * it cannot apply them, since others may have what it lacks.
     */
    private void forward(FleetDigest.Changes changes, boolean local, long now, DecisionSink sink) {
        if (local || changes == null || changes.revision() <= forwardedRevision) {
            return;
        }
        if (peers.bridges().mustForward(peers) && RelayElection.INSTANCE.isRelay(peers, now)) {
            forwardedRevision = changes.revision();
            send(peers.liveLocal(now), changes, now, sink);
        }
    }

    /**
     * Starts a pull if this gateway is behind, or lacks a configuration that the publisher lost, and one is due.
     *
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    void startDuePull(long now, DecisionSink sink) {
        boolean lacksConfiguration = highestRetainedConfiguration > publishedState.configurationRevision();
        if ((lag.behind() || lacksConfiguration) && pulls.startDue(this::hasNews, pullAfter(), now, sink)) {
            lag.recordPull();
        }
    }

    /** Returns whether another gateway has items or a configuration that this one lacks. */
    private boolean hasNews(FleetDigest.PublisherStatus status) {
        return status.revision() > publishedState.revision()
                || status.retainedConfiguration() > publishedState.configurationRevision();
    }

    /** Returns the revision after which to pull items, zero for all of them. */
    private long pullAfter() {
        return wholeRequired ? 0 : publishedState.revision();
    }

    /**
     * Applies published items that were pulled from another gateway, and tells a few others of them. If they do not fit
     * what this gateway has, the next pull asks for all items.
     *
     * @param event the pulled items
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    void applyPulled(Event.PublicationPulled event, long now, DecisionSink sink) {
        long previousRevision = publishedState.revision();
        highestRetainedConfiguration = 0;
        String way = "pulled from " + event.name();
        wholeRequired = !publishedState.applyChanges(event.changes(), way, now, sink);
        if (wholeRequired) {
            pulls.fail(event.name(), now);
            return;
        }
        pulls.complete(event.name());
        lag.recordOwn(publishedState.revision(), way, now, sink);
        if (publishedState.revision() > previousRevision && previousRevision > 0) {
            send(nextToTell(now), null, now, sink);
        }
        startDuePull(now, sink);
    }

    /**
     * Records that a pull failed.
     *
     * @param name the name of the other gateway's host
     * @param now the current time in nanoseconds
     */
    void recordPullFailure(String name, long now) {
        pulls.fail(name, now);
    }

    /**
     * Tells other gateways of newly read items: all live ones if a digest can carry the items, else a few, which pull
     * them. Nothing is sent after the first read of this gateway.
     *
     * @param previousRevision the revision before the read, zero if nothing was known
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    void broadcast(long previousRevision, long now, DecisionSink sink) {
        lag.recordOwn(publishedState.revision(), "read from the publisher", now, sink);
        if (publishedState.revision() <= previousRevision || previousRevision == 0) {
            return;
        }
        FleetDigest.Changes changes = publishedState.compactChangesAfter(previousRevision);
        if (changes.after() > 0 && changes.bytes() <= MAXIMUM_CARRIED_BYTES) {
            send(peers.live(now), changes, now, sink);
            return;
        }
        List<FleetPeer> told = new ArrayList<>(nextToTell(now));
        told.addAll(RelayElection.INSTANCE.recipients(peers, now));
        send(told, null, now, sink);
    }

    /** Returns a few live gateways of this data centre that are not known to have the items of this one. */
    private List<FleetPeer> nextToTell(long now) {
        List<FleetPeer> behind = peers.liveLocal(now).stream()
                .filter(peer -> peer.latestDigest().publisherStatus().revision() < publishedState.revision())
                .toList();
        int start = PublicationWatcherElection.rank(peers.self().name() + ' ' + publishedState.revision());
        List<FleetPeer> chosen = new ArrayList<>();
        for (int count = 0; count < Math.min(FAN_OUT, behind.size()); count++) {
            chosen.add(behind.get(Math.floorMod(start + count, behind.size())));
        }
        return chosen;
    }

    /** Sends a digest with the status of this gateway and changes, {@code null} for none. */
    private void send(List<FleetPeer> recipients, FleetDigest.Changes changes, long now, DecisionSink sink) {
        Content content = new Content(false, 0, List.of(), List.of(), 0, List.of(), List.of(), changes);
        DigestSchedule.send(recipients, composer.compose(content, now), now, sink);
    }

    /**
     * Returns whether this gateway lacks items that others have, and is about to receive them.
     *
     * @param now the current time in nanoseconds
     * @return {@code true} if it received newer items, or heard of some, a short time ago
     */
    boolean outdated(long now) {
        return lag.behind() && now - lag.progressAt() < CATCH_UP_NANOSECONDS;
    }
}
