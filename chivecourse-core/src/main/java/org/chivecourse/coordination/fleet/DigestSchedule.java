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
    static final long NEAR_NANOSECONDS = 40_000_000L;

    /** The number of other gateways of a data centre up to which they are told at the least time. */
    private static final int FEW_NEAR = 4;

    /** The time between two digests to them while there is nothing to tell, in nanoseconds. */
    static final long QUIET_NANOSECONDS = 200_000_000L;

    /** The time between two digests to a gateway of another data centre, in nanoseconds. */
    static final long FAR_NANOSECONDS = 1_000_000_000L;

    /** The time between two looks for gateways of other data centres that are to be told, in nanoseconds. */
    private static final long FAR_LOOK_NANOSECONDS = 40_000_000L;

    /** The time between two words to other data centres of what was seen, in nanoseconds. */
    private static final long RELAY_NANOSECONDS = 50_000_000L;

    /** The time between two questions to silent seeds shortly after the start, in nanoseconds. */
    private static final long EAGER_SEED_NANOSECONDS = 100_000_000L;

    /** The time after the start for which seeds are asked often, in nanoseconds. */
    private static final long EAGER_NANOSECONDS = 3_000_000_000L;

    /** The time for which a gateway that was only heard of is written to, in nanoseconds. */
    private static final long UNHEARD_NANOSECONDS = 5_000_000_000L;

    /** What the core knows of its host. */
    private final HostSettings settings;

    /** The other gateways. */
    private final Neighbours neighbours;

    /** What this gateway saw of backend servers. */
    private final SightingOutbox sightings;

    /** Composes digests. */
    private final Composer composer;

    /** The addresses of some gateways, which may be out of date. */
    private List<String> seeds;

    /** The time of the first event, in nanoseconds. */
    private long startedAt;

    /** Whether there was an event. */
    private boolean started;

    /** The time of the last digest to the same data centre, in nanoseconds. */
    private long nearAt;

    /** The time of the last look for gateways of other data centres that are to be told, in nanoseconds. */
    private long farLookedAt;

    /** The time of the last word to other data centres of what was seen, in nanoseconds. */
    private long relayedAt;

    /** The time of the last question to silent seeds, in nanoseconds. */
    private long seedsAt;

    /**
     * Creates a schedule.
     *
     * @param settings what the core knows of its host
     * @param neighbours the other gateways
     * @param sightings what this gateway saw of backend servers
     * @param composer composes digests
     */
    DigestSchedule(HostSettings settings, Neighbours neighbours, SightingOutbox sightings, Composer composer) {
        this.settings = settings;
        seeds = settings.fleet().seeds();
        this.neighbours = neighbours;
        this.sightings = sightings;
        this.composer = composer;
    }

    /**
     * Takes over other gateways to find the fleet by.
     *
     * @param addresses the addresses of some gateways, which may be out of date
     */
    void seeds(List<String> addresses) {
        seeds = addresses;
    }

    /**
     * Sends the digests that are due.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    void timePassed(long now, DecisionSink sink) {
        if (!started) {
            started = true;
            startedAt = now;
            seedsAt = now - FAR_NANOSECONDS;
            nearAt = now;
        }
        askSeeds(now, sink);
        tellCrashes(now, sink);
        tellNear(now, sink);
        relay(now, sink);
        tellFar(now, sink);
    }

    /**
     * Asks seeds that are not heard for digests; a gateway that does not speak hears of others from those that do.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void askSeeds(long now, DecisionSink sink) {
        boolean eager = now - startedAt < EAGER_NANOSECONDS;
        if (now - seedsAt < (eager ? EAGER_SEED_NANOSECONDS : FAR_NANOSECONDS)
                || !Speakers.INSTANCE.speaks(neighbours, now)) {
            return;
        }
        seedsAt = now;
        List<String> silent = new ArrayList<>(seeds);
        silent.remove(settings.fleet().address());
        for (Neighbour neighbour : neighbours.live(now)) {
            silent.remove(neighbour.member().address());
        }
        if (!silent.isEmpty()) {
            sink.decide(new Decision.SendFleetDigest(silent, composer.digest(Content.QUESTION, now)));
        }
    }

    /**
     * Tells the gateways of the same data centre, if it is time.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void tellNear(long now, DecisionSink sink) {
        long pause = sightings.anyForNear() ? neighbours.nearPauseNanoseconds() : QUIET_NANOSECONDS;
        if (now - nearAt < pause) {
            return;
        }
        nearAt = now;
        List<Neighbour> near = new ArrayList<>();
        for (Neighbour neighbour : neighbours.all()) {
            if (neighbours.near(neighbour) && worthTelling(neighbour, now)) {
                near.add(neighbour);
            }
        }
        if (!near.isEmpty()) {
            tell(near, composer.digest(Content.of(sightings.pollNear()), now), now, sink);
        }
    }

    /**
     * Returns the time between two digests to the gateways of the same data centre, which grows with their number so
     * that the number of messages does not.
     *
     * @param others the number of other gateways of the data centre
     * @return the time in nanoseconds
     */
    static long nearPause(int others) {
        return NEAR_NANOSECONDS * Math.max(FEW_NEAR, others) / FEW_NEAR;
    }

    /**
     * Tells all gateways at once of crashes of backend servers.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void tellCrashes(long now, DecisionSink sink) {
        List<Crash> crashes = sightings.pollCrashes();
        if (!crashes.isEmpty()) {
            Content content = new Content(false, 0, List.of(), crashes, null);
            tell(neighbours.live(now), composer.digest(content, now), now, sink);
        }
    }

    /**
     * Tells the gateways of other data centres whose turn it is, if this one speaks for its data centre.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void tellFar(long now, DecisionSink sink) {
        if (now - farLookedAt < FAR_LOOK_NANOSECONDS || !Speakers.INSTANCE.speaks(neighbours, now)) {
            return;
        }
        farLookedAt = now;
        List<Neighbour> due = new ArrayList<>();
        for (Neighbour neighbour : Speakers.INSTANCE.listeners(neighbours, now)) {
            if (neighbour.sinceTold(now) >= FAR_NANOSECONDS && worthTelling(neighbour, now)) {
                due.add(neighbour);
            }
        }
        if (due.isEmpty()) {
            return;
        }
        tell(due, composer.digest(Content.of(List.of()), now), now, sink);
    }

    /**
     * Tells one gateway of each other data centre what the gateways of this one have seen, if it is this one's part.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void relay(long now, DecisionSink sink) {
        if (now - relayedAt < RELAY_NANOSECONDS) {
            return;
        }
        relayedAt = now;
        if (!RelayElection.INSTANCE.relays(neighbours, now)) {
            sightings.forgetFar();
            return;
        }
        List<Observation> seen = sightings.pollFar();
        List<Neighbour> receivers = RelayElection.INSTANCE.receivers(neighbours, now);
        if (!seen.isEmpty() && !receivers.isEmpty()) {
            tell(receivers, composer.digest(new Content(false, 0, seen, List.of(), null), now), now, sink);
        }
    }

    /**
     * Returns whether a gateway is written to.
     *
     * @param neighbour the gateway
     * @param now the time in nanoseconds
     * @return {@code true} unless it was heard of and never heard for a while
     */
    private static boolean worthTelling(Neighbour neighbour, long now) {
        return neighbour.latest() != null || neighbour.silence(now) < UNHEARD_NANOSECONDS;
    }

    /**
     * Sends a digest.
     *
     * @param receivers the gateways
     * @param digest the digest
     * @param now the time in nanoseconds
     * @param sink receives the decision
     */
    static void tell(List<Neighbour> receivers, FleetDigest digest, long now, DecisionSink sink) {
        List<String> addresses = new ArrayList<>(receivers.size());
        for (Neighbour receiver : receivers) {
            receiver.told(now);
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
        FleetDigest digest(Content content, long now);
    }
}
