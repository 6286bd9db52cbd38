package org.chivecourse.coordination.fleet;

/**
 * Decides without agreement which gateways watch the publisher: the first two in a fixed order among the live ones that
 * the publisher answers, and the first of a data centre that does not hear of them.
 */
enum PublicationWatcherElection {
    /** The only instance. */
    INSTANCE;

    /** The number of gateways that watch. */
    private static final int WATCHER_COUNT = 2;

    /**
     * Returns whether this gateway watches.
     *
     * @param peers the other gateways
     * @param now the time in nanoseconds
     * @return {@code true} if too few live gateways that the publisher answers go before it
     */
    boolean isWatcher(FleetPeers peers, long now) {
        int ownRank = rank(peers.self().name());
        int before = 0;
        int localBefore = 0;
        for (FleetPeer peer : peers.live(now)) {
            boolean reached = peer.latestDigest().publisherStatus().reached();
            if (!reached || rank(peer.member().name()) >= ownRank) {
                continue;
            }
            before++;
            localBefore += peers.isLocal(peer) ? 1 : 0;
        }
        return before < WATCHER_COUNT || localBefore == 0 && !enoughOthersWatch(peers, now);
    }

    /**
     * Returns whether gateways of other data centres say that they watch, so that this one hears of changes.
     *
     * @param peers the other gateways
     * @param now the time in nanoseconds
     * @return {@code true} if enough of them do
     */
    private static boolean enoughOthersWatch(FleetPeers peers, long now) {
        int watching = 0;
        for (FleetPeer peer : peers.live(now)) {
            watching += peer.latestDigest().publisherStatus().watching() ? 1 : 0;
        }
        return watching >= WATCHER_COUNT;
    }

    /**
     * Returns the place of a host in the fixed order.
     *
     * @param name the name of the host
     * @return the rank
     */
    static int rank(String name) {
        int hash = name.hashCode() * 0x9e3779b1;
        return hash ^ hash >>> 15;
    }
}
