package org.chivecourse.coordination.choice;

import org.chivecourse.state.server.ServerCondition;
import org.chivecourse.state.server.ServerState;

/**
 * Estimates the time until a backend server answers a request, from its reported load and slowness and its recent
 * response times and failures.
 */
public final class FinishEstimate {

    /** The age at which a load report has lost half its weight. */
    private static final double REPORT_HALF_LIFE_NANOSECONDS = 200_000_000;

    /** The age at which a reported slowness has lost all its weight to the average. */
    private static final double SLOWNESS_LIFETIME_NANOSECONDS = 350_000_000;

    /** The share of slots in use from which a backend server counts as nearly full. */
    private static final double NEARLY_FULL_SHARE = 0.8;

    /** The share of slots that is kept free for requests of other hosts that are not known yet. */
    private static final double UNREPORTED_MARGIN_SHARE = 0.2;

    /**
     * The lowest limit of requests in flight. It lets a backend server with one slot take requests despite the margin.
     */
    private static final double MINIMUM_IN_FLIGHT_LIMIT_REQUESTS = 0.6;

    /** The share of slots in use up to which a backend server works as fast as an empty one. */
    private static final double UNLOADED_SHARE = 0.2;

    /**
     * The factor by which a full backend server is slower. It also covers that other hosts may have filled slots that
     * seem free.
     */
    private static final double FULL_FACTOR = 1.8;

    /** The factor by which a backend server that has just started is slower. */
    private static final double COLD_FACTOR = 2;

    /** The penalty factor for a backend server that reports itself unhealthy. */
    private static final double UNHEALTHY_FACTOR = 2;

    /** The weight of recent failures in the penalty factor. */
    private static final double FAILURE_WEIGHT = 1.5;

    /** The factor for a backend server in another data centre. */
    private static final double REMOTE_FACTOR = 1.05;

    /** Not instantiable. */
    private FinishEstimate() {}

    /**
     * Returns the number of requests in flight below which a backend server is sent another one. Above it the service
     * as a whole would answer fewer requests, since a nearly full backend server slows down all its requests. Where few
     * slots leave hardly any below that, a full one still answers more requests than one that is kept from being full.
     */
    public static double efficientInFlightLimit(ServerState server) {
        int slots = server.server().slots();
        double nearlyFull = NEARLY_FULL_SHARE * slots;
        double efficient = slots / FULL_FACTOR > Math.floor(nearlyFull) ? slots : nearlyFull;
        return Math.max(MINIMUM_IN_FLIGHT_LIMIT_REQUESTS, efficient - UNREPORTED_MARGIN_SHARE * slots);
    }

    /**
     * Returns the estimated number of requests in flight at a backend server over all hosts. As the last report ages,
     * the average of other hosts' requests replaces its value.
     *
     * @param otherHostsAverage the average number of requests of other hosts in flight at a backend server of the
     *     service
     */
    public static double inFlight(ServerState server, double otherHostsAverage, long now) {
        if (!server.hasReport()) {
            return server.knownInFlight() + otherHostsAverage;
        }
        double weight = 1 / (1 + (now - server.reportedAt()) / REPORT_HALF_LIFE_NANOSECONDS);
        return server.knownInFlight() + weight * server.othersInFlight() + (1 - weight) * otherHostsAverage;
    }

    /**
     * Returns the factor by which a backend server's machine is slower than is typical; one if it has reported none.
     * The last reported value loses its weight to the average as it ages.
     */
    public static double slowness(ServerState server, long now) {
        ServerCondition condition = server.condition();
        if (condition.slowness() == 0) {
            return 1;
        }
        double weight = Math.max(0, 1 - condition.slownessAge(now) / SLOWNESS_LIFETIME_NANOSECONDS);
        return weight * condition.slowness() + (1 - weight) * condition.averageSlowness();
    }

    /**
     * Returns the estimated time until a backend server answers, in nanoseconds.
     *
     * @param typicalNanoseconds the time that the request takes on a backend server of typical speed
     * @param inFlight the estimated number of requests in flight at the backend server
     */
    public static double nanoseconds(ServerState server, double typicalNanoseconds, double inFlight, long now) {
        ServerCondition condition = server.condition();
        double slots = server.server().slots();
        double running = inFlight + 1;
        double work = typicalNanoseconds * slowness(server, now) * Math.max(1, condition.responseTimeRatio(now));
        if (server.warmUp().cold(now)) {
            work *= COLD_FACTOR;
        }
        double utilisation = running / slots;
        double congestion = Math.min(1, Math.max(0, (utilisation - UNLOADED_SHARE) / (1 - UNLOADED_SHARE)));
        work *= 1 + (FULL_FACTOR - 1) * congestion * congestion;
        double waiting = utilisation > 1 ? (utilisation - 1) * work : 0;
        double penalty = 1 + FAILURE_WEIGHT * condition.failureWeight(now);
        if (condition.isUnhealthy(now)) {
            penalty *= UNHEALTHY_FACTOR;
        }
        return (work + waiting) * penalty * (server.local() ? 1 : REMOTE_FACTOR);
    }
}
