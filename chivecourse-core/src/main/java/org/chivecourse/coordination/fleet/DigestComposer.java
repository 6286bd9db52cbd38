package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.coordination.poison.PoisonRequests;
import org.chivecourse.state.fleet.Crash;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.fleet.LimitReport;
import org.chivecourse.state.fleet.Member;
import org.chivecourse.state.fleet.Observation;
import org.chivecourse.state.fleet.WarmUpReport;

/** Composes the digests that this gateway sends to the other gateways of the fleet. */
final class DigestComposer {

    /** The maximum number of other gateways that the reply to a digest request names. */
    private static final int MAXIMUM_REPLY_MEMBERS = 16;

    /** The number of other gateways that a regular digest names. */
    private static final int REGULAR_DIGEST_MEMBERS = 2;

    /** The maximum number of blocked requests in a digest. */
    private static final int MAXIMUM_BLOCKED_REQUESTS = 8;

    /**
     * The maximum number of crashes of backend servers, and of answers to suspected requests, in a digest that has much
     * else to hold.
     */
    private static final int FEW_SUSPICIONS = 3;

    /** The maximum number of crashes of backend servers, and of answers to suspected requests, in any digest. */
    private static final int MAXIMUM_SUSPICIONS = 8;

    /** The number of nanoseconds in a second. */
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

    /** The settings of this host. */
    private final HostSettings settings;

    /** The other gateways of the fleet. */
    private final FleetPeers peers;

    /** The requests that are suspected or blocked because backend servers crashed on them. */
    private final PoisonRequests poisonRequests;

    /** The sequence number of the last digest, zero before the first one of this incarnation. */
    private long sequence;

    /**
     * The position in the list of live gateways from which the next digest names members, modulo the size of the list.
     */
    private int nextMemberIndex;

    /** Whether digests report that this gateway is stopping. */
    private boolean stopping;

    /**
     * Creates a composer.
     *
     * @param settings the settings of this host
     * @param peers the other gateways of the fleet
     * @param poisonRequests the requests that are suspected or blocked because backend servers crashed on them
     */
    DigestComposer(HostSettings settings, FleetPeers peers, PoisonRequests poisonRequests) {
        this.settings = settings;
        this.peers = peers;
        this.poisonRequests = poisonRequests;
    }

    /** Reports in all further digests that this gateway is stopping. */
    void markStopping() {
        stopping = true;
    }

    /**
     * Composes a digest with the next sequence number.
     *
     * @param content what the digest holds beyond the status of this gateway
     * @param publisherStatus whether this gateway reaches the publisher, and the revision that it knows
     * @param takesCalls whether this gateway can take calls of other gateways
     * @param now the current time in nanoseconds
     * @return the digest
     */
    FleetDigest compose(Content content, FleetDigest.PublisherStatus publisherStatus, boolean takesCalls, long now) {
        return new FleetDigest(
                peers.self(),
                settings.incarnation(),
                ++sequence,
                stopping,
                content.replyRequested(),
                publisherStatus,
                nextMembers(content.memberCount(), now),
                content.observations(),
                crashes(content, now),
                poisonRequests.answersToShare(content.maximumSuspicions(), now),
                blockedRequests(now),
                content.changes(),
                peers.fleetSize(),
                peers.dataCentreSize(now),
                content.limitReports(),
                content.warmUps(),
                takesCalls && !stopping ? settings.fleet().forwardingAddress() : "",
                List.of(),
                List.of(),
                settings.policy().reservesSlots());
    }

    /**
     * Returns live gateways in rotation, so that consecutive digests name all of them.
     *
     * @param maximum the maximum number of gateways
     * @param now the current time in nanoseconds
     * @return the gateways, all live ones if there are no more than the maximum
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
     * Returns the crashes of backend servers to report.
     *
     * @param content what the digest holds
     * @param now the current time in nanoseconds
     * @return those of the content, or known ones if the digest repeats them
     */
    private List<Crash> crashes(Content content, long now) {
        return content.maximumSuspicions() > 0
                ? poisonRequests.crashesToShare(content.maximumSuspicions(), now)
                : content.crashes();
    }

    /**
     * Returns the blocked requests to report, at most {@link #MAXIMUM_BLOCKED_REQUESTS} of them.
     *
     * @param now the current time in nanoseconds
     * @return the remaining time of each block in whole seconds, by fingerprint
     */
    private Map<Long, Integer> blockedRequests(long now) {
        Map<Long, Integer> blocked = new HashMap<>();
        poisonRequests
                .blocksToShare(MAXIMUM_BLOCKED_REQUESTS, now)
                .forEach((fingerprint, remaining) ->
                        blocked.put(fingerprint, (int) (remaining / NANOSECONDS_PER_SECOND)));
        return blocked;
    }

    /**
     * What a digest holds beyond the status of its sender.
     *
     * @param replyRequested whether the recipient is requested to send a digest in return
     * @param memberCount the number of other gateways to name
     * @param observations what was observed of backend servers
     * @param crashes requests that were running when a backend server ended, none if suspicions are repeated
     * @param maximumSuspicions the maximum number of known crashes, and of answers to suspected requests, to repeat
     * @param limitReports what this gateway knows of request limits of backend servers
     * @param warmUps what this gateway knows of the warm-ups of backend servers
     * @param changes published items, {@code null} for none
     */
    record Content(
            boolean replyRequested,
            int memberCount,
            List<Observation> observations,
            List<Crash> crashes,
            int maximumSuspicions,
            List<LimitReport> limitReports,
            List<WarmUpReport> warmUps,
            FleetDigest.Changes changes) {

        /** The content of a digest that reports only the status of its sender. */
        static final Content STATUS_ONLY = new Content(false, 0, List.of(), List.of(), 0, List.of(), List.of(), null);

        /** The content of a digest that requests a digest in return. */
        static final Content REQUEST = new Content(true, 0, List.of(), List.of(), 0, List.of(), List.of(), null);

        /** The content of the reply to a request. */
        static final Content REPLY = new Content(
                false, MAXIMUM_REPLY_MEMBERS, List.of(), List.of(), FEW_SUSPICIONS, List.of(), List.of(), null);

        /**
         * Creates the content of a regular digest within a data centre, which names {@link #REGULAR_DIGEST_MEMBERS}
         * other gateways.
         *
         * @param observations what was observed of backend servers
         * @param limitReports what this gateway knows of request limits of backend servers
         * @param repeating whether known crashes and answers to suspected requests are repeated
         * @return the content
         */
        static Content local(List<Observation> observations, List<LimitReport> limitReports, boolean repeating) {
            int maximumSuspicions = repeating ? FEW_SUSPICIONS : 0;
            return new Content(
                    false,
                    REGULAR_DIGEST_MEMBERS,
                    observations,
                    List.of(),
                    maximumSuspicions,
                    limitReports,
                    List.of(),
                    null);
        }

        /**
         * Creates the content of a regular digest to another data centre, which names other gateways
         * and repeats known crashes and answers to suspected requests.
         *
         * @param limitReports what this gateway knows of request limits of backend servers
         * @param members the number of other gateways to name
         * @param repeating whether known crashes and answers to suspected requests are repeated
         * @return the content
         */
        static Content remote(List<LimitReport> limitReports, int members, boolean repeating) {
            return new Content(
                    false,
                    members,
                    List.of(),
                    List.of(),
                    repeating ? MAXIMUM_SUSPICIONS : 0,
                    limitReports,
                    List.of(),
                    null);
        }

        /**
         * Returns the same content with reports of warm-ups.
         *
         * @param reports what this gateway knows of the warm-ups of backend servers
         * @return the content
         */
        Content withWarmUps(List<WarmUpReport> reports) {
            return new Content(
                    replyRequested,
                    memberCount,
                    observations,
                    crashes,
                    maximumSuspicions,
                    limitReports,
                    reports,
                    changes);
        }
    }
}
