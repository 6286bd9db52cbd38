package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.List;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.fleet.DigestComposer.Content;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.state.fleet.Crash;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.fleet.LimitReport;
import org.chivecourse.state.fleet.Observation;
import org.chivecourse.state.fleet.WarmUpReport;

/** Decides when a digest is due and which gateways it is sent to. */
final class DigestSchedule {

    /**
     * The interval between two digests to the gateways of the same data centre while there are few of them, in
     * nanoseconds.
     */
    static final long MINIMUM_LOCAL_DIGEST_INTERVAL_NANOSECONDS = 40_000_000L;

    /** The maximum number of local peers for which the minimum interval is used. */
    private static final int MAXIMUM_PEERS_AT_MINIMUM_INTERVAL = 4;

    /** The shortest interval between two digests to local peers while no observation is pending, in nanoseconds. */
    static final long IDLE_LOCAL_DIGEST_INTERVAL_NANOSECONDS = 200_000_000L;

    /** The interval at which crashes and answers to suspected requests are repeated to local peers, in nanoseconds. */
    private static final long SUSPICION_REPETITION_INTERVAL_NANOSECONDS = 200_000_000L;

    /** The interval between two digests to a gateway of another data centre, in nanoseconds. */
    static final long REMOTE_DIGEST_INTERVAL_NANOSECONDS = 1_000_000_000L;

    /** The interval between two checks whether a gateway of another data centre is due for a digest, in nanoseconds. */
    private static final long REMOTE_DIGEST_CHECK_INTERVAL_NANOSECONDS = 40_000_000L;

    /**
     * The shortest interval between two digests to local peers, or between two relays, while an urgent observation is
     * pending and there are few local peers, in nanoseconds.
     */
    static final long MINIMUM_URGENT_INTERVAL_NANOSECONDS = 10_000_000L;

    /**
     * The interval between two digest requests to seeds that are not live peers, shortly after the start, in
     * nanoseconds.
     */
    private static final long STARTUP_SEED_REQUEST_INTERVAL_NANOSECONDS = 100_000_000L;

    /** The time after the start for which digests are requested from seeds at the shorter interval, in nanoseconds. */
    private static final long STARTUP_PERIOD_NANOSECONDS = 3_000_000_000L;

    /** The time for which digests are sent to a gateway that is only known indirectly, in nanoseconds. */
    private static final long UNCONFIRMED_PEER_TIMEOUT_NANOSECONDS = 5_000_000_000L;

    /** The settings of this host. */
    private final HostSettings settings;

    /** The other gateways of the fleet. */
    private final FleetPeers peers;

    /** The observations and crashes that other gateways have not received yet. */
    private final ObservationOutbox observations;

    /** The request limits of backend servers. */
    private final RequestLimitExchange requestLimits;

    /** The warm-ups of backend servers. */
    private final WarmUpExchange warmUps;

    /** Composes the digests to send. */
    private final Composer composer;

    /** What data centres tell each other of their room and needs. */
    private final CrossingExchange crossings;

    /** Relays observations to other data centres. */
    private final ObservationRelay relay;

    /** The addresses of the seeds; some of them may no longer belong to a gateway. */
    private List<String> seeds;

    /** The time of the first event, in nanoseconds. */
    private long startedAt;

    /** Whether an event has occurred. */
    private boolean started;

    /** The time of the last digest to local peers, in nanoseconds. */
    private long lastLocalDigestAt;

    /** The time of the last digest to local peers that repeated crashes and answers to suspected requests. */
    private long lastRepetitionAt;

    /** The time of the last check for due gateways of other data centres, in nanoseconds. */
    private long lastRemoteCheckAt;

    /** The time of the last digest request to seeds, in nanoseconds. */
    private long lastSeedRequestAt;

    /**
     * Creates a schedule with the seeds of the settings.
     *
     * @param settings the settings of this host
     * @param peers the other gateways of the fleet
     * @param observations the observations and crashes that other gateways have not received yet
     * @param requestLimits the request limits of backend servers
     * @param warmUps the warm-ups of backend servers
     * @param crossings what data centres tell each other of their room and needs
     * @param composer composes the digests to send
     */
    DigestSchedule(
            HostSettings settings,
            FleetPeers peers,
            ObservationOutbox observations,
            RequestLimitExchange requestLimits,
            WarmUpExchange warmUps,
            CrossingExchange crossings,
            Composer composer) {
        this.settings = settings;
        seeds = settings.fleet().seeds();
        this.peers = peers;
        this.observations = observations;
        this.requestLimits = requestLimits;
        this.warmUps = warmUps;
        this.crossings = crossings;
        this.composer = composer;
        relay = new ObservationRelay(peers, observations, warmUps, crossings, composer);
    }

    /** Returns whether this gateway knows a seed that is not itself. */
    boolean hasOtherSeeds() {
        String ownAddress = settings.fleet().address();
        return seeds.stream().anyMatch(seed -> !seed.equals(ownAddress));
    }

    /**
     * Replaces the seeds through which this gateway discovers the fleet.
     *
     * @param addresses the addresses of the seeds; some of them may no longer belong to a gateway
     */
    void replaceSeeds(List<String> addresses) {
        seeds = addresses;
    }

    /**
     * Sends the digests that are due.
     *
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
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
        relay.relayIfDue(ObservationRelay.INTERVAL_NANOSECONDS, now, sink);
        sendRemoteDigests(now, sink);
    }

    /**
     * Sends pending observations on which the next choices of other gateways depend, unless the previous ones were sent
     * just before. Gateways that wait for the same backend server would otherwise all send to it.
     *
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    void sendUrgentObservations(long now, DecisionSink sink) {
        if (!started) {
            return;
        }
        long interval = peers.urgentIntervalNanoseconds();
        if (observations.hasUrgentLocal() && now - lastLocalDigestAt >= interval) {
            sendLocalDigest(now, sink);
        }
        relay.askIfDue(now, sink);
        if (observations.hasUrgentRemote()) {
            relay.relayIfDue(Math.min(interval, ObservationRelay.INTERVAL_NANOSECONDS), now, sink);
        }
    }

    /**
     * Requests digests from the seeds that are not live peers. Only a bridge does so; other gateways learn of the fleet
     * from the bridges of their data centre.
     *
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    private void requestDigestsFromSeeds(long now, DecisionSink sink) {
        boolean startingUp = now - startedAt < STARTUP_PERIOD_NANOSECONDS;
        long interval = startingUp ? STARTUP_SEED_REQUEST_INTERVAL_NANOSECONDS : peers.seedRequestInterval(now);
        if (now - lastSeedRequestAt < interval || !peers.bridges().isBridge(peers, now)) {
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
     * Sends a digest with the pending observations to the gateways of the same data centre, if it is due.
     *
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    private void sendLocalDigests(long now, DecisionSink sink) {
        long interval = observations.hasLocal() || requestLimits.hasChanged(now) || warmUps.hasLocal()
                ? peers.localDigestIntervalNanoseconds()
                : Math.max(IDLE_LOCAL_DIGEST_INTERVAL_NANOSECONDS, peers.localDigestIntervalNanoseconds());
        if (now - lastLocalDigestAt >= interval) {
            sendLocalDigest(now, sink);
        }
    }

    /**
     * Sends a digest with the pending observations to the gateways of the same data centre.
     *
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    private void sendLocalDigest(long now, DecisionSink sink) {
        lastLocalDigestAt = now;
        List<FleetPeer> localPeers = new ArrayList<>();
        for (FleetPeer peer : peers.all()) {
            if (peers.isLocal(peer) && shouldSendTo(peer, now)) {
                localPeers.add(peer);
            }
        }
        if (!localPeers.isEmpty()) {
            boolean repeating = now - lastRepetitionAt >= SUSPICION_REPETITION_INTERVAL_NANOSECONDS;
            lastRepetitionAt = repeating ? now : lastRepetitionAt;
            List<LimitReport> limitReports = repeating ? requestLimits.next(now) : requestLimits.pollChanged(now);
            List<WarmUpReport> warmUpReports = warmUps.pollLocal(now);
            List<Observation> observed = observations.pollLocal(limitReports.size() + warmUpReports.size());
            Content content = Content.local(observed, limitReports, repeating).withWarmUps(warmUpReports);
            FleetDigest digest = composer.compose(content, now);
            send(localPeers, crossings.completeLocal(digest, now), now, sink);
        }
    }

    /**
     * Returns the interval between two digests to the gateways of the same data centre. Beyond {@link
     * #MAXIMUM_PEERS_AT_MINIMUM_INTERVAL} it grows in proportion to their number, so that the number of messages that
     * each gateway sends per second does not.
     *
     * @param localPeers the number of other gateways of the data centre
     * @return the interval in nanoseconds
     */
    static long localDigestIntervalNanoseconds(int localPeers) {
        return MINIMUM_LOCAL_DIGEST_INTERVAL_NANOSECONDS
                * Math.max(MAXIMUM_PEERS_AT_MINIMUM_INTERVAL, localPeers)
                / MAXIMUM_PEERS_AT_MINIMUM_INTERVAL;
    }

    /**
     * Returns the shortest interval between two digests to the gateways of the same data centre while an urgent
     * observation is pending. Beyond {@link #MAXIMUM_PEERS_AT_MINIMUM_INTERVAL} peers it grows with the square of their
     * number, since each of them sends to all others, up to the interval of other digests.
     *
     * @param localPeers the number of other gateways of the data centre
     * @return the interval in nanoseconds
     */
    static long urgentIntervalNanoseconds(int localPeers) {
        long counted = Math.max(MAXIMUM_PEERS_AT_MINIMUM_INTERVAL, localPeers);
        long divisor = (long) MAXIMUM_PEERS_AT_MINIMUM_INTERVAL * MAXIMUM_PEERS_AT_MINIMUM_INTERVAL;
        return Math.min(
                localDigestIntervalNanoseconds(localPeers),
                MINIMUM_URGENT_INTERVAL_NANOSECONDS * counted * counted / divisor);
    }

    /**
     * Sends pending crashes of backend servers to all live gateways immediately.
     *
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    private void sendCrashes(long now, DecisionSink sink) {
        List<Crash> crashes = observations.pollCrashes();
        if (!crashes.isEmpty()) {
            Content content = new Content(false, 0, List.of(), crashes, 0, List.of(), List.of(), null);
            send(peers.live(now), composer.compose(content, now), now, sink);
        }
    }

    /**
     * Sends a digest to the gateways of other data centres that are due for one, if this gateway is a bridge.
     *
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    private void sendRemoteDigests(long now, DecisionSink sink) {
        if (now - lastRemoteCheckAt < REMOTE_DIGEST_CHECK_INTERVAL_NANOSECONDS
                || !peers.bridges().isBridge(peers, now)) {
            return;
        }
        lastRemoteCheckAt = now;
        List<FleetPeer> due = new ArrayList<>();
        for (FleetPeer peer : peers.bridges().remoteRecipients(peers, now)) {
            if (peer.sinceLastSent(now) >= REMOTE_DIGEST_INTERVAL_NANOSECONDS && shouldSendTo(peer, now)) {
                due.add(peer);
            }
        }
        if (due.isEmpty()) {
            return;
        }
        Content content = Content.remote(
                        requestLimits.next(now), peers.bridges().namedMembers(), peers.repeatsSuspicions(now))
                .withWarmUps(warmUps.pollRemote(now));
        FleetDigest digest = composer.compose(content, now);
        if (!crossings.enabled() || CrossingExchange.hasSpaceIn(digest)) {
            send(due, crossings.completeRemote(digest, now), now, sink);
            return;
        }
        send(due, digest, now, sink);
        FleetDigest room = crossings.completeRemote(composer.compose(Content.STATUS_ONLY, now), now);
        if (!room.rooms().isEmpty()) {
            send(due, room, now, sink);
        }
    }

    /**
     * Returns whether digests are sent to a gateway.
     *
     * @param peer the gateway
     * @param now the current time in nanoseconds
     * @return {@code true} unless the gateway has been known only indirectly for longer than {@link
     *     #UNCONFIRMED_PEER_TIMEOUT_NANOSECONDS}
     */
    private static boolean shouldSendTo(FleetPeer peer, long now) {
        return peer.latestDigest() != null || peer.sinceLastReceived(now) < UNCONFIRMED_PEER_TIMEOUT_NANOSECONDS;
    }

    /**
     * Sends a digest and records the time for each recipient. Nothing is sent if there are no recipients.
     *
     * @param recipients the gateways
     * @param digest the digest
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    static void send(List<FleetPeer> recipients, FleetDigest digest, long now, DecisionSink sink) {
        List<String> addresses = new ArrayList<>(recipients.size());
        for (FleetPeer recipient : recipients) {
            recipient.recordSent(now);
            addresses.add(recipient.member().address());
        }
        if (!addresses.isEmpty()) {
            sink.decide(new Decision.SendFleetDigest(addresses, digest));
        }
    }

    /** Composes digests with the current status of this gateway. */
    @FunctionalInterface
    interface Composer {

        /**
         * Composes a digest.
         *
         * @param content what the digest holds beyond the status of this gateway
         * @param now the current time in nanoseconds
         * @return the digest
         */
        FleetDigest compose(Content content, long now);
    }
}
