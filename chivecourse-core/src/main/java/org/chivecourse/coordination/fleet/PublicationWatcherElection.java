package org.chivecourse.coordination.fleet;

/**
 * Elects the gateways that watch the publisher for changes: the first two in rank order among the live gateways that
 * reach the publisher, and in addition the first such gateway of a data centre if fewer than two other gateways report
 * that they watch.
 *
 * <p>Each gateway evaluates the election on its own from the digests that it received, without coordination.
 */
enum PublicationWatcherElection {
    /** The only instance. */
    INSTANCE;

    /** The number of gateways that watch. */
    private static final int WATCHER_COUNT = 2;

    /**
     * Returns whether this gateway watches the publisher.
     *
     * @param peers the other gateways of the fleet
     * @param now the current time in nanoseconds
     * @return {@code true} if fewer than {@link #WATCHER_COUNT} live gateways that reach the publisher rank below this
     *     one, or if none of this data centre does and too few others report that they watch
     */
    boolean isWatcher(FleetPeers peers, long now) {
        int ownRank = rank(peers.self().name());
        int lowerRankedCount = 0;
        int lowerRankedLocalCount = 0;
        for (FleetPeer peer : peers.live(now)) {
            boolean reached = peer.latestDigest().publisherStatus().reached();
            if (!reached || rank(peer.member().name()) >= ownRank) {
                continue;
            }
            lowerRankedCount++;
            lowerRankedLocalCount += peers.isLocal(peer) ? 1 : 0;
        }
        return lowerRankedCount < WATCHER_COUNT || lowerRankedLocalCount == 0 && !enoughOthersWatch(peers, now);
    }

    /**
     * Returns the position of this gateway in rank order among the live gateways that reach the publisher.
     *
     * @param peers the other gateways of the fleet
     * @param now the current time in nanoseconds
     * @return the number of others that rank below this one
     */
    int position(FleetPeers peers, long now) {
        int ownRank = rank(peers.self().name());
        int before = 0;
        for (FleetPeer peer : peers.live(now)) {
            boolean lower = rank(peer.member().name()) < ownRank;
            before += lower && reachesPublisher(peer) ? 1 : 0;
        }
        return before;
    }

    /**
     * Returns the position of this gateway in rank order among the live gateways that do not reach the publisher.
     *
     * @param peers the other gateways of the fleet
     * @param now the current time in nanoseconds
     * @return the number of others that rank below this one
     */
    int positionWithoutPublisher(FleetPeers peers, long now) {
        int ownRank = rank(peers.self().name());
        int before = 0;
        for (FleetPeer peer : peers.live(now)) {
            boolean lower = rank(peer.member().name()) < ownRank;
            before += lower && !reachesPublisher(peer) ? 1 : 0;
        }
        return before;
    }

    /** Returns whether a gateway reaches the publisher, as far as it knows. */
    static boolean reachesPublisher(FleetPeer peer) {
        return peer.latestDigest().publisherStatus().reached();
    }

    /**
     * Returns whether enough other gateways report that they watch, so that this one receives changes from them.
     *
     * @param peers the other gateways of the fleet
     * @param now the current time in nanoseconds
     * @return {@code true} if at least {@link #WATCHER_COUNT} live gateways report that they watch
     */
    boolean enoughOthersWatch(FleetPeers peers, long now) {
        int watching = 0;
        for (FleetPeer peer : peers.live(now)) {
            watching += peer.latestDigest().publisherStatus().watching() ? 1 : 0;
        }
        return watching >= WATCHER_COUNT;
    }

    /**
     * Returns the rank of a host, a hash of its name that is the same on every gateway. Knuth's multiplicative constant
     * and the shift spread the hash codes of similar names.
     *
     * @param name the name of the host
     * @return the rank, lower ranks first; it may be negative
     */
    static int rank(String name) {
        int hash = name.hashCode() * 0x9e3779b1;
        return hash ^ hash >>> 15;
    }
}
