package org.chivecourse.coordination.choice;

import org.chivecourse.state.server.ServerState;

/** Estimates the response time of a backend server from what this host knows of it. */
public final class ResponseTimeEstimate {

    /** The age at which a report's count of other hosts' requests has lost half its weight. */
    private static final double REPORT_HALF_LIFE_NANOSECONDS = 50_000_000;

    /** The service time that is assumed for a backend server that has not answered yet. */
    private static final double DEFAULT_SERVICE_NANOSECONDS = 5_000_000;

    /** The multiple of the service time that the oldest open request may take before it raises the estimate. */
    private static final double OLDEST_REQUEST_FACTOR = 3;

    /** The weight of the share of failed requests. */
    private static final double FAILURE_WEIGHT = 10;

    /** The time after its start during which a backend server is sent fewer requests. */
    private static final double WARM_UP_NANOSECONDS = 5_000_000_000.0;

    /** The weight of a cold start at its beginning. */
    private static final double COLD_START_WEIGHT = 3;

    /** Not instantiable. */
    private ResponseTimeEstimate() {}

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
        double weight = freshness(server, now);
        return server.knownInFlight() + weight * server.othersInFlight() + (1 - weight) * otherHostsAverage;
    }

    /** Returns the weight of a backend server's last report, from one for a new report down to zero. */
    private static double freshness(ServerState server, long now) {
        double age = now - server.reportedAt();
        return 1 / (1 + age / REPORT_HALF_LIFE_NANOSECONDS);
    }

    /**
     * Returns the estimated response time of a request in nanoseconds.
     *
     * @param otherHostsAverage the average number of requests of other hosts in flight at a backend server of the
     *     service
     */
    public static double nanoseconds(ServerState server, double otherHostsAverage, long now) {
        double known = server.averageServiceNanoseconds();
        double typical = known == 0 ? DEFAULT_SERVICE_NANOSECONDS : known;
        double service = Math.max(typical, server.oldestRequestAge(now) / OLDEST_REQUEST_FACTOR);
        double queue = inFlight(server, otherHostsAverage, now) + 1;
        double waiting = Math.max(1, queue / server.server().slots());
        return service * waiting * (1 + FAILURE_WEIGHT * server.failureShare()) * coldStartFactor(server, now);
    }

    /**
     * Returns the factor by which the estimate of a backend server is raised after its start; one once it has warmed
     * up.
     */
    private static double coldStartFactor(ServerState server, long now) {
        double warmUpShare = (now - server.warmUpStartedAt()) / WARM_UP_NANOSECONDS;
        return warmUpShare >= 1 ? 1 : 1 + COLD_START_WEIGHT * (1 - Math.max(0, warmUpShare));
    }
}
