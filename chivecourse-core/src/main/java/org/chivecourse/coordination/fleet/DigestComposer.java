package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.coordination.poison.PoisonRegister;
import org.chivecourse.state.fleet.Crash;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.fleet.Member;
import org.chivecourse.state.fleet.Observation;

/** Composes what a gateway tells others. */
final class DigestComposer {

    /** The largest number of members in a digest that answers a question. */
    private static final int LARGEST_MEMBERS = 16;

    /** The number of members in other digests. */
    private static final int FEW_MEMBERS = 2;

    /** The largest number of convictions in a digest. */
    private static final int LARGEST_CONVICTIONS = 8;

    /** The number of nanoseconds in a second. */
    private static final long SECOND = 1_000_000_000L;

    /** What the core knows of its host. */
    private final HostSettings settings;

    /** The other gateways. */
    private final Neighbours neighbours;

    /** The requests that crash backend servers. */
    private final PoisonRegister poison;

    /** The number of digests so far. */
    private long sequence;

    /** The place from which the next members are told. */
    private int memberTurn;

    /** Whether this gateway is stopping. */
    private boolean stopping;

    /**
     * Creates a composer.
     *
     * @param settings what the core knows of its host
     * @param neighbours the other gateways
     * @param poison the requests that crash backend servers
     */
    DigestComposer(HostSettings settings, Neighbours neighbours, PoisonRegister poison) {
        this.settings = settings;
        this.neighbours = neighbours;
        this.poison = poison;
    }

    /**
     * Says in each digest from now on that this gateway is stopping.
     */
    void stopping() {
        stopping = true;
    }

    /**
     * Returns what this gateway tells of itself.
     *
     * @param content what the digest holds besides
     * @param standing how this gateway stands with the publisher
     * @param now the time in nanoseconds
     * @return the digest
     */
    FleetDigest digest(Content content, FleetDigest.PublisherStatus standing, long now) {
        return new FleetDigest(
                neighbours.self(),
                settings.incarnation(),
                ++sequence,
                stopping,
                content.asks(),
                standing,
                members(content.members(), now),
                content.sightings(),
                content.crashes(),
                convictions(now),
                content.changes(),
                neighbours.size(),
                neighbours.dataCentreSize(now));
    }

    /**
     * Returns some live gateways, in turn.
     *
     * @param most the largest number
     * @param now the time in nanoseconds
     * @return the gateways
     */
    private List<Member> members(int most, long now) {
        List<Neighbour> live = neighbours.live(now);
        List<Member> members = new ArrayList<>();
        for (int count = 0; count < Math.min(most, live.size()); count++) {
            members.add(live.get(Math.floorMod(memberTurn++, live.size())).member());
        }
        return members;
    }

    /**
     * Returns the convictions to tell.
     *
     * @param now the time in nanoseconds
     * @return the fingerprints with the seconds that remain
     */
    private Map<Long, Integer> convictions(long now) {
        Map<Long, Integer> convictions = new HashMap<>();
        poison.convictions(now).forEach((fingerprint, remaining) -> {
            if (convictions.size() < LARGEST_CONVICTIONS) {
                convictions.put(fingerprint, (int) (remaining / SECOND));
            }
        });
        return convictions;
    }

    /**
     * What a digest holds besides the standing of its sender.
     *
     * @param asks whether to ask for a digest in return
     * @param members the number of other gateways to name
     * @param sightings what was seen of backend servers
     * @param crashes the requests whose runs coincided with failures of backend servers
     * @param changes published items, {@code null} for none
     */
    record Content(
            boolean asks, int members, List<Observation> sightings, List<Crash> crashes, FleetDigest.Changes changes) {

        /** The standing alone. */
        static final Content NOTHING = new Content(false, 0, List.of(), List.of(), null);

        /** A question for a digest. */
        static final Content QUESTION = new Content(true, 0, List.of(), List.of(), null);

        /** The answer to a question. */
        static final Content REPLY = new Content(false, LARGEST_MEMBERS, List.of(), List.of(), null);

        /**
         * Creates the content of a regular digest.
         *
         * @param sightings what was seen of backend servers
         * @return the content
         */
        static Content of(List<Observation> sightings) {
            return new Content(false, FEW_MEMBERS, sightings, List.of(), null);
        }
    }
}
