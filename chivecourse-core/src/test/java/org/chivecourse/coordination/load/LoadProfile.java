package org.chivecourse.coordination.load;

import java.util.List;

/**
 * The load and the backend servers of a simulation.
 *
 * @param slots the number of requests that a backend server runs at a time
 * @param queueLength the number of requests that it queues
 * @param silentWhenFull whether it never answers a request that it cannot queue, instead of refusing it
 * @param networkMilliseconds the time that a request and its answer spend between caller and gateway
 * @param impatience the largest share of its deadline by which a caller grants less time
 * @param retries the number of times that a caller comes back after a refusal
 * @param kinds the kinds of requests; their shares sum to one
 */
record LoadProfile(
        int slots,
        int queueLength,
        boolean silentWhenFull,
        long networkMilliseconds,
        double impatience,
        int retries,
        List<Kind> kinds) {

    /** Lookups and orders at backend servers with four slots. Callers do not come back. */
    static final LoadProfile FOUR_SLOTS = new LoadProfile(
            4,
            8,
            false,
            0,
            0,
            0,
            List.of(
                    new Kind("lookups", 0.7, 120, 300, 1000, 1000, true, 2, 1),
                    new Kind("orders", 0.3, 120, 400, 1000, 1000, false, 1, 2)));

    /** Lookups and two kinds of orders at backend servers with two slots that do not answer when they are full. */
    static final LoadProfile TWO_SLOTS_SILENT_WHEN_FULL = new LoadProfile(
            2,
            4,
            true,
            18,
            0.17,
            2,
            List.of(
                    new Kind("lookups", 0.68, 90, 250, 1000, 2000, true, 2, 1),
                    new Kind("orders", 0.24, 120, 300, 1200, 2500, false, 1, 2),
                    new Kind("urgent", 0.08, 63, 200, 1200, 1200, false, 0, 3)));

    /** Lookups and orders of the large fleet at backend servers with four slots. */
    static final LoadProfile LARGE_FLEET = new LoadProfile(
            4,
            8,
            false,
            4,
            0.17,
            1,
            List.of(
                    new Kind("lookups", 0.72, 331, 805, 2500, 2508, true, 2, 1),
                    new Kind("orders", 0.28, 421, 1010, 3000, 3021, false, 1, 2)));

    /** Reads and commands of measuring stations at backend servers with three slots. */
    static final LoadProfile STATIONS = new LoadProfile(
            3,
            6,
            false,
            2,
            0.17,
            2,
            List.of(
                    new Kind("readings", 0.63, 190, 634, 3000, 6338, true, 2, 1),
                    new Kind("commands", 0.37, 250, 839, 4000, 8391, false, 1, 2)));

    /**
     * A kind of requests.
     *
     * @param name the first segment of its path and the name of its route
     * @param share its share of all requests
     * @param workMilliseconds the mean time that it takes on a backend server of typical speed
     * @param targetMilliseconds the time after the first arrival within which an answer has its full worth
     * @param timeoutMilliseconds the longest time that a gateway may keep a request
     * @param deadlineMilliseconds the time after the first arrival at which the caller gives up
     * @param idempotent whether it may run more than once
     * @param rank the rank by which it competes for capacity, zero for the most urgent
     * @param worth the worth of an answer within the target latency
     */
    record Kind(
            String name,
            double share,
            double workMilliseconds,
            long targetMilliseconds,
            long timeoutMilliseconds,
            long deadlineMilliseconds,
            boolean idempotent,
            int rank,
            double worth) {}
}
