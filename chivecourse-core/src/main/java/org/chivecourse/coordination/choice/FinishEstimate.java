package org.chivecourse.coordination.choice;

import org.chivecourse.state.server.ServerCondition;
import org.chivecourse.state.server.ServerState;

/**
 * The estimate of the time after which a backend server answers a request, from what it states of its load and its
 * machine and from how it has worked of late.
 */
public final class FinishEstimate {

    /** The age at which a load report has lost half its weight, in nanoseconds. */
    private static final double REPORT_HALF_LIFE_NANOSECONDS = 200_000_000;

    /** The age at which a stated slowness has lost its weight, in nanoseconds. */
    private static final double SLOWNESS_LIFE_NANOSECONDS = 350_000_000;

    /** The share of slots from which on a backend server counts as nearly full. */
    private static final double NEARLY_FULL_SHARE = 0.8;

    /** The room that is left for requests of other hosts that are not known yet, in requests. */
    private static final double ESTIMATE_DOUBT = 0.6;

    /** The number of requests in flight up to which even a backend server with one slot gets another one. */
    private static final double LEAST_IN_FLIGHT = 0.6;

    /** The share of slots up to which a backend server works as if it were empty. */
    private static final double EMPTY_SHARE = 0.2;

    /** The factor by which a full backend server is slower; others may have filled the slots that seem free. */
    private static final double FULL_FACTOR = 1.8;

    /** The factor by which a backend server that has just started is slower. */
    private static final double COLD_FACTOR = 2;

    /** The factor for a backend server that says that it is unwell. */
    private static final double UNWELL_FACTOR = 2;

    /** The weight of a recent failure. */
    private static final double FAILURE_WEIGHT = 1.5;

    /** The factor for a backend server in another data centre. */
    private static final double FAR_FACTOR = 1.05;

    /** Not to be constructed. */
    private FinishEstimate() {}

    /**
     * Returns the number of requests in flight up to which a backend server gets another one: with more, it would be
     * nearly full, where all its work slows down, so that the service as a whole would answer fewer requests.
     *
     * @param server the backend server
     * @return the number of requests
     */
    public static double efficientInFlight(ServerState server) {
        double nearlyFull = NEARLY_FULL_SHARE * server.server().slots();
        return Math.max(LEAST_IN_FLIGHT, nearlyFull - ESTIMATE_DOUBT);
    }

    /**
     * Returns the estimated number of requests in flight at a backend server over all hosts.
     *
     * @param server the backend server
     * @param othersOnAverage the average number of other hosts' requests at the service's backend servers
     * @param now the time in nanoseconds
     * @return the number of requests
     */
    public static double inFlight(ServerState server, double othersOnAverage, long now) {
        if (!server.hasReport()) {
            return server.ownInFlight() + othersOnAverage;
        }
        double weight = 1 / (1 + (now - server.reportedAt()) / REPORT_HALF_LIFE_NANOSECONDS);
        return server.ownInFlight() + weight * server.othersInFlight() + (1 - weight) * othersOnAverage;
    }

    /**
     * Returns the factor by which a backend server's machine is slower than usual.
     *
     * @param server the backend server
     * @param now the time in nanoseconds
     * @return the factor, one as usual
     */
    public static double slowness(ServerState server, long now) {
        ServerCondition condition = server.condition();
        if (condition.slowness() == 0) {
            return 1;
        }
        double weight = Math.max(0, 1 - condition.slownessAge(now) / SLOWNESS_LIFE_NANOSECONDS);
        return weight * condition.slowness() + (1 - weight) * condition.averageSlowness();
    }

    /**
     * Returns the estimated time until an answer.
     *
     * @param server the backend server
     * @param usualNanoseconds the time that the request takes on a backend server that works as usual
     * @param inFlight the estimated number of requests in flight at the backend server
     * @param now the time in nanoseconds
     * @return the time in nanoseconds
     */
    public static double nanoseconds(ServerState server, double usualNanoseconds, double inFlight, long now) {
        ServerCondition condition = server.condition();
        double slots = server.server().slots();
        double running = inFlight + 1;
        double work = usualNanoseconds * slowness(server, now) * Math.max(1, condition.responseTimeRatio(now));
        if (server.cold(now)) {
            work *= COLD_FACTOR;
        }
        double full = running / slots;
        double crowd = Math.min(1, Math.max(0, (full - EMPTY_SHARE) / (1 - EMPTY_SHARE)));
        work *= 1 + (FULL_FACTOR - 1) * crowd * crowd;
        double waiting = full > 1 ? (full - 1) * work : 0;
        double doubt = 1 + FAILURE_WEIGHT * condition.failureWeight(now);
        if (condition.isUnhealthy(now)) {
            doubt *= UNWELL_FACTOR;
        }
        return (work + waiting) * doubt * (server.local() ? 1 : FAR_FACTOR);
    }
}
