package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.List;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.fleet.DigestComposer.Content;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.state.fleet.Crash;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.fleet.Observation;

/** Decides when which gateways get a digest. */
final class DigestSchedule {

    /** The least time between two digests to the gateways of a data centre with few of them, in nanoseconds. */
    static final long MINIMUM_LOCAL_DIGEST_INTERVAL_NANOSECONDS = 40_000_000L;

    /** The number of other gateways of a data centre up to which they are told at the least time. */
    private static final int MAXIMUM_PEERS_AT_MINIMUM_INTERVAL = 4;

    /** The time between two digests to them while there is nothing to tell, in nanoseconds. */
    static final long IDLE_LOCAL_DIGEST_INTERVAL_NANOSECONDS = 200_000_000L;

    /** The time between two digests to a gateway of another data centre, in nanoseconds. */
    static final long REMOTE_DIGEST_INTERVAL_NANOSECONDS = 1_000_000_000L;

    /** The time between two looks for gateways of other data centres that are to be told, in nanoseconds. */
    private static final long REMOTE_DIGEST_CHECK_INTERVAL_NANOSECONDS = 40_000_000L;

    /** The time between two words to other data centres of what was seen, in nanoseconds. */
    private static final long RELAY_INTERVAL_NANOSECONDS = 50_000_000L;

    /** The time between two questions to silent seeds shortly after the start, in nanoseconds. */
    private static final long STARTUP_SEED_REQUEST_INTERVAL_NANOSECONDS = 100_000_000L;

    /** The time after the start for which seeds are asked often, in nanoseconds. */
    private static final long STARTUP_PERIOD_NANOSECONDS = 3_000_000_000L;

    /** The time for which a gateway that was only heard of is written to, in nanoseconds. */
    private static final long UNCONFIRMED_PEER_TIMEOUT_NANOSECONDS = 5_000_000_000L;

    /** What the core knows of its host. */
    private final HostSettings settings;

    /** The other gateways. */
    private final FleetPeers peers;

    /** What this gateway saw of backend servers. */
    private final ObservationOutbox observations;

    /** Composes digests. */
    private final Composer composer;

    /** The addresses of some gateways, which may be out of date. */
    private List<String> seeds;

    /** The time of the first event, in nanoseconds. */
    private long startedAt;

    /** Whether there was an event. */
    private boolean started;

    /** The time of the last digest to the same data centre, in nanoseconds. */
    private long lastLocalDigestAt;

    /** The time of the last look for gateways of other data centres that are to be told, in nanoseconds. */
    private long lastRemoteCheckAt;

    /** The time of the last word to other data centres of what was seen, in nanoseconds. */
    private long lastRelayAt;

    /** The time of the last question to silent seeds, in nanoseconds. */
    private long lastSeedRequestAt;

    /**
     * Creates a schedule.
     *
     * @param settings what the core knows of its host
     * @param peers the other gateways
     * @param observations what this gateway saw of backend servers
     * @param composer composes digests
     */
    DigestSchedule(HostSettings settings, FleetPeers peers, ObservationOutbox observations, Composer composer) {
        this.settings = settings;
        seeds = settings.fleet().seeds();
        this.peers = peers;
        this.observations = observations;
        this.composer = composer;
    }

    /**
     * Takes over other gateways to find the fleet by.
     *
     * @param addresses the addresses of some gateways, which may be out of date
     */
    void replaceSeeds(List<String> addresses) {
        seeds = addresses;
    }

    /**
     * Sends the digests that are due.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    void sendDueDigests(long now, DecisionSink sink) {
        if (!started) {
            started = true;
            startedAt = now;
            lastSeedRequestAt = now - REMOTE_DIGEST_INTERVAL_NANOSECONDS;
            lastLocalDigestAt = now;
        }
        requestDigestsFromSeeds(now, sink);
        sendCrashes(now, sink);
        sendLocalDigests(now, sink);
        relayObservations(now, sink);
        sendRemoteDigests(now, sink);
    }

    /**
     * Asks seeds that are not heard for digests; a gateway that does not speak hears of others from those that do.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void requestDigestsFromSeeds(long now, DecisionSink sink) {
        boolean startingUp = now - startedAt < STARTUP_PERIOD_NANOSECONDS;
        if (now - lastSeedRequestAt
                        < (startingUp ? STARTUP_SEED_REQUEST_INTERVAL_NANOSECONDS : REMOTE_DIGEST_INTERVAL_NANOSECONDS)
                || !BridgeElection.INSTANCE.isBridge(peers, now)) {
            return;
        }
        lastSeedRequestAt = now;
        List<String> silentSeeds = new ArrayList<>(seeds);
        silentSeeds.remove(settings.fleet().address());
        for (FleetPeer peer : peers.live(now)) {
            silentSeeds.remove(peer.member().address());
        }
        if (!silentSeeds.isEmpty()) {
            sink.decide(new Decision.SendFleetDigest(silentSeeds, composer.compose(Content.REQUEST, now)));
        }
    }

    /**
     * Tells the gateways of the same data centre, if it is time.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void sendLocalDigests(long now, DecisionSink sink) {
        long interval = observations.hasLocal()
                ? peers.localDigestIntervalNanoseconds()
                : IDLE_LOCAL_DIGEST_INTERVAL_NANOSECONDS;
        if (now - lastLocalDigestAt < interval) {
            return;
        }
        lastLocalDigestAt = now;
        List<FleetPeer> localPeers = new ArrayList<>();
        for (FleetPeer peer : peers.all()) {
            if (peers.isLocal(peer) && shouldSendTo(peer, now)) {
                localPeers.add(peer);
            }
        }
        if (!localPeers.isEmpty()) {
            send(localPeers, composer.compose(Content.regular(observations.pollLocal()), now), now, sink);
        }
    }

    /**
     * Returns the time between two digests to the gateways of the same data centre, which grows with their number so
     * that the number of messages does not.
     *
     * @param localPeers the number of other gateways of the data centre
     * @return the time in nanoseconds
     */
    static long localDigestIntervalNanoseconds(int localPeers) {
        return MINIMUM_LOCAL_DIGEST_INTERVAL_NANOSECONDS
                * Math.max(MAXIMUM_PEERS_AT_MINIMUM_INTERVAL, localPeers)
                / MAXIMUM_PEERS_AT_MINIMUM_INTERVAL;
    }

    /**
     * Tells all gateways at once of crashes of backend servers.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void sendCrashes(long now, DecisionSink sink) {
        List<Crash> crashes = observations.pollCrashes();
        if (!crashes.isEmpty()) {
            Content content = new Content(false, 0, List.of(), crashes, null);
            send(peers.live(now), composer.compose(content, now), now, sink);
        }
    }

    /**
     * Tells the gateways of other data centres whose turn it is, if this one speaks for its data centre.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void sendRemoteDigests(long now, DecisionSink sink) {
        if (now - lastRemoteCheckAt < REMOTE_DIGEST_CHECK_INTERVAL_NANOSECONDS
                || !BridgeElection.INSTANCE.isBridge(peers, now)) {
            return;
        }
        lastRemoteCheckAt = now;
        List<FleetPeer> due = new ArrayList<>();
        for (FleetPeer peer : BridgeElection.INSTANCE.remoteRecipients(peers, now)) {
            if (peer.sinceLastSent(now) >= REMOTE_DIGEST_INTERVAL_NANOSECONDS && shouldSendTo(peer, now)) {
                due.add(peer);
            }
        }
        if (due.isEmpty()) {
            return;
        }
        send(due, composer.compose(Content.regular(List.of()), now), now, sink);
    }

    /**
     * Tells one gateway of each other data centre what the gateways of this one have seen, if it is this one's part.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void relayObservations(long now, DecisionSink sink) {
        if (now - lastRelayAt < RELAY_INTERVAL_NANOSECONDS) {
            return;
        }
        lastRelayAt = now;
        if (!RelayElection.INSTANCE.isRelay(peers, now)) {
            observations.discardRemote();
            return;
        }
        List<Observation> observed = observations.pollRemote();
        List<FleetPeer> receivers = RelayElection.INSTANCE.receivers(peers, now);
        if (!observed.isEmpty() && !receivers.isEmpty()) {
            send(receivers, composer.compose(new Content(false, 0, observed, List.of(), null), now), now, sink);
        }
    }

    /**
     * Returns whether a gateway is written to.
     *
     * @param peer the gateway
     * @param now the time in nanoseconds
     * @return {@code true} unless it was heard of and never heard for a while
     */
    private static boolean shouldSendTo(FleetPeer peer, long now) {
        return peer.latestDigest() != null || peer.sinceLastReceived(now) < UNCONFIRMED_PEER_TIMEOUT_NANOSECONDS;
    }

    /**
     * Sends a digest.
     *
     * @param receivers the gateways
     * @param digest the digest
     * @param now the time in nanoseconds
     * @param sink receives the decision
     */
    static void send(List<FleetPeer> receivers, FleetDigest digest, long now, DecisionSink sink) {
        List<String> addresses = new ArrayList<>(receivers.size());
        for (FleetPeer receiver : receivers) {
            receiver.recordSent(now);
            addresses.add(receiver.member().address());
        }
        if (!addresses.isEmpty()) {
            sink.decide(new Decision.SendFleetDigest(addresses, digest));
        }
    }

    /** Composes digests. */
    @FunctionalInterface
    interface Composer {

        /**
         * Returns what this gateway tells of itself.
         *
         * @param content what the digest holds besides
         * @param now the time in nanoseconds
         * @return the digest
         */
        FleetDigest compose(Content content, long now);
    }
}
