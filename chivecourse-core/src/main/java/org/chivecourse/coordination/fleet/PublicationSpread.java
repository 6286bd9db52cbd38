package org.chivecourse.coordination.fleet;

import java.util.List;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.fleet.DigestComposer.Content;
import org.chivecourse.coordination.publication.PublishedState;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.publication.PublishedItem;

/**
 * Exchanges published items with the other gateways of a fleet. Digests carry small changes. A gateway that is behind
 * pulls what it lacks.
 */
final class PublicationSpread {

    /** The source of items that this gateway read itself, for the audit log. */
    static final String PUBLISHER = "publisher";

    /** The time after which a pull of published items no longer prevents another one, in nanoseconds. */
    private static final long PULL_TIMEOUT_NANOSECONDS = 500_000_000L;

    /** The maximum total size of the keys and values of published items that a digest carries, in bytes. */
    private static final int MAXIMUM_INLINE_CHANGES_BYTES = 800;

    /** The other gateways of the fleet. */
    private final FleetPeers peers;

    /** The published items, decoded into the registry of backend servers and the configuration. */
    private final PublishedState publishedState;

    /** Composes the digests of this gateway. */
    private final DigestSchedule.Composer composer;

    /** Whether this gateway is behind others. */
    private final PublicationLag lag;

    /**
     * The time at which the pull in flight started, in nanoseconds, or a time in the distant past if none is in flight.
     */
    private long pullStartedAt = Long.MIN_VALUE / 2;

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
    }

    /**
     * Applies the published items of a digest, forwards new ones from another data centre within this one if this
     * gateway is the relay, and pulls missing items from the sender.
     *
     * @param digest the digest
     * @param local whether the sender is in the same data centre
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    void receive(FleetDigest digest, boolean local, long now, DecisionSink sink) {
        long previousRevision = publishedState.revision();
        String sender = digest.sender().name();
        if (digest.changes() != null) {
            publishedState.applyChanges(digest.changes(), "carried by " + sender, now, sink);
            lag.recordOwn(publishedState.revision(), "carried by " + sender, now, sink);
        }
        boolean forwards = BridgeElection.INSTANCE.mustForward(peers) && RelayElection.INSTANCE.isRelay(peers, now);
        if (!local && publishedState.revision() > previousRevision && forwards) {
            Content content = new Content(false, 0, List.of(), List.of(), 0, List.of(), digest.changes());
            DigestSchedule.send(peers.liveLocal(now), composer.compose(content, now), now, sink);
        }
        long peerRevision = digest.publisherStatus().revision();
        lag.recordPeer(sender, peerRevision, publishedState.revision(), now, sink);
        boolean senderAhead = peerRevision > publishedState.revision();
        if (senderAhead && now - pullStartedAt >= PULL_TIMEOUT_NANOSECONDS) {
            pullStartedAt = now;
            lag.recordPull();
            sink.decide(new Decision.PullPublication(sender, digest.sender().address(), publishedState.revision()));
        }
    }

    /**
     * Applies published items that were pulled from another gateway.
     *
     * @param event the pulled items
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    void applyPulled(Event.PublicationPulled event, long now, DecisionSink sink) {
        finishPull();
        String way = "pulled from " + event.name();
        publishedState.applyChanges(event.changes(), way, now, sink);
        lag.recordOwn(publishedState.revision(), way, now, sink);
    }

    /** Records that the pull in flight ended, so that another one may start. */
    void finishPull() {
        pullStartedAt = Long.MIN_VALUE / 2;
    }

    /**
     * Sends a digest about newly read items to all live gateways immediately. It carries the items themselves if they
     * are small enough; otherwise the recipients pull them. Nothing is sent after the first read of this gateway.
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
        FleetDigest.Changes changes = publishedState.changesAfter(previousRevision);
        int bytes = 0;
        for (PublishedItem item : changes.items()) {
            bytes += item.key().length() + (item.removed() ? 0 : item.value().length);
        }
        boolean fits = bytes <= MAXIMUM_INLINE_CHANGES_BYTES && changes.after() > 0;
        Content content = new Content(false, 0, List.of(), List.of(), 0, List.of(), fits ? changes : null);
        DigestSchedule.send(peers.live(now), composer.compose(content, now), now, sink);
    }
}
