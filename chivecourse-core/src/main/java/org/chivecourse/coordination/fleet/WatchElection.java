package org.chivecourse.coordination.fleet;

/**
 * Decides without agreement which gateways watch the publisher: the first two in a fixed order among the live ones that
 * the publisher answers, and the first of a data centre that does not hear of them.
 */
enum WatchElection {
    /** The only instance. */
    INSTANCE;

    /** The number of gateways that watch. */
    private static final int WATCHERS = 2;

    /**
     * Returns whether this gateway watches.
     *
     * @param neighbours the other gateways
     * @param now the time in nanoseconds
     * @return {@code true} if too few live gateways that the publisher answers go before it
     */
    boolean watches(Neighbours neighbours, long now) {
        int own = rank(neighbours.self().name());
        int before = 0;
        int nearBefore = 0;
        for (Neighbour neighbour : neighbours.live(now)) {
            boolean answered = neighbour.latest().publisherStatus().reached();
            if (!answered || rank(neighbour.member().name()) >= own) {
                continue;
            }
            before++;
            nearBefore += neighbours.near(neighbour) ? 1 : 0;
        }
        return before < WATCHERS || nearBefore == 0 && !watchedElsewhere(neighbours, now);
    }

    /**
     * Returns whether gateways of other data centres say that they watch, so that this one hears of changes.
     *
     * @param neighbours the other gateways
     * @param now the time in nanoseconds
     * @return {@code true} if enough of them do
     */
    private static boolean watchedElsewhere(Neighbours neighbours, long now) {
        int watching = 0;
        for (Neighbour neighbour : neighbours.live(now)) {
            watching += neighbour.latest().publisherStatus().watching() ? 1 : 0;
        }
        return watching >= WATCHERS;
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
