package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.coordination.poison.PoisonRequests;
import org.chivecourse.state.fleet.Crash;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.fleet.Member;
import org.chivecourse.state.fleet.Observation;

/** Composes what a gateway tells others. */
final class DigestComposer {

    /** The largest number of members in a digest that answers a question. */
    private static final int MAXIMUM_REPLY_MEMBERS = 16;

    /** The number of members in other digests. */
    private static final int REGULAR_DIGEST_MEMBERS = 2;

    /** The largest number of convictions in a digest. */
    private static final int MAXIMUM_BLOCKED_REQUESTS = 8;

    /** The number of nanoseconds in a second. */
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

    /** What the core knows of its host. */
    private final HostSettings settings;

    /** The other gateways. */
    private final FleetPeers peers;

    /** The requests that crash backend servers. */
    private final PoisonRequests poisonRequests;

    /** The number of digests so far. */
    private long sequence;

    /** The place from which the next members are told. */
    private int nextMemberIndex;

    /** Whether this gateway is stopping. */
    private boolean stopping;

    /**
     * Creates a composer.
     *
     * @param settings what the core knows of its host
     * @param peers the other gateways
     * @param poisonRequests the requests that crash backend servers
     */
    DigestComposer(HostSettings settings, FleetPeers peers, PoisonRequests poisonRequests) {
        this.settings = settings;
        this.peers = peers;
        this.poisonRequests = poisonRequests;
    }

    /**
     * Says in each digest from now on that this gateway is stopping.
     */
    void markStopping() {
        stopping = true;
    }

    /**
     * Returns what this gateway tells of itself.
     *
     * @param content what the digest holds besides
     * @param publisherStatus how this gateway stands with the publisher
     * @param now the time in nanoseconds
     * @return the digest
     */
    FleetDigest compose(Content content, FleetDigest.PublisherStatus publisherStatus, long now) {
        return new FleetDigest(
                peers.self(),
                settings.incarnation(),
                ++sequence,
                stopping,
                content.replyRequested(),
                publisherStatus,
                nextMembers(content.memberCount(), now),
                content.observations(),
                content.crashes(),
                blockedRequests(now),
                content.changes(),
                peers.fleetSize(),
                peers.dataCentreSize(now));
    }

    /**
     * Returns some live gateways, in turn.
     *
     * @param maximum the largest number
     * @param now the time in nanoseconds
     * @return the gateways
     */
    private List<Member> nextMembers(int maximum, long now) {
        List<FleetPeer> live = peers.live(now);
        List<Member> members = new ArrayList<>();
        for (int count = 0; count < Math.min(maximum, live.size()); count++) {
            members.add(live.get(Math.floorMod(nextMemberIndex++, live.size())).member());
        }
        return members;
    }

    /**
     * Returns the convictions to tell.
     *
     * @param now the time in nanoseconds
     * @return the fingerprints with the seconds that remain
     */
    private Map<Long, Integer> blockedRequests(long now) {
        Map<Long, Integer> blocked = new HashMap<>();
        poisonRequests.blockedRequests(now).forEach((fingerprint, remaining) -> {
            if (blocked.size() < MAXIMUM_BLOCKED_REQUESTS) {
                blocked.put(fingerprint, (int) (remaining / NANOSECONDS_PER_SECOND));
            }
        });
        return blocked;
    }

    /**
     * What a digest holds besides the standing of its sender.
     *
     * @param replyRequested whether to ask for a digest in return
     * @param memberCount the number of other gateways to name
     * @param observations what was seen of backend servers
     * @param crashes the requests whose runs coincided with failures of backend servers
     * @param changes published items, {@code null} for none
     */
    record Content(
            boolean replyRequested,
            int memberCount,
            List<Observation> observations,
            List<Crash> crashes,
            FleetDigest.Changes changes) {

        /** The standing alone. */
        static final Content STATUS_ONLY = new Content(false, 0, List.of(), List.of(), null);

        /** A question for a digest. */
        static final Content REQUEST = new Content(true, 0, List.of(), List.of(), null);

        /** The answer to a question. */
        static final Content REPLY = new Content(false, MAXIMUM_REPLY_MEMBERS, List.of(), List.of(), null);

        /**
         * Creates the content of a regular digest.
         *
         * @param observations what was seen of backend servers
         * @return the content
         */
        static Content regular(List<Observation> observations) {
            return new Content(false, REGULAR_DIGEST_MEMBERS, observations, List.of(), null);
        }
    }
}
