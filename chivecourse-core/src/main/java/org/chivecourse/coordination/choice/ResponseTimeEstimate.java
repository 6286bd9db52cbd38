package org.chivecourse.coordination.choice;

import org.chivecourse.state.server.ServerState;

/** The estimate of the time that a request would take at a backend server, from what one host knows. */
public final class ResponseTimeEstimate {

    /** The age at which a report's word on other hosts' requests counts half, in nanoseconds. */
    private static final double REPORT_HALF_LIFE_NANOSECONDS = 50_000_000;

    /** The service time where nothing is known, in nanoseconds. */
    private static final double DEFAULT_SERVICE_NANOSECONDS = 5_000_000;

    /** The multiple of the service time that the oldest open request may take before the estimate follows it. */
    private static final double OLDEST_REQUEST_FACTOR = 3;

    /** The weight of the share of failed requests. */
    private static final double FAILURE_WEIGHT = 10;

    /** The time for which a backend server that started is eased in, in nanoseconds. */
    private static final double WARM_UP_NANOSECONDS = 5_000_000_000.0;

    /** The weight of a cold start at its beginning. */
    private static final double COLD_START_WEIGHT = 3;

    /** Not to be constructed. */
    private ResponseTimeEstimate() {}

    /**
     * Returns the estimated number of requests in flight at a backend server over all hosts.
     *
     * @param server the backend server
     * @param otherHostsAverage the average number of other hosts' requests at the service's backend servers
     * @param now the time in nanoseconds
     * @return the number of requests
     */
    public static double inFlight(ServerState server, double otherHostsAverage, long now) {
        if (!server.hasReport()) {
            return server.ownInFlight() + otherHostsAverage;
        }
        double weight = freshness(server, now);
        return server.ownInFlight() + weight * server.othersInFlight() + (1 - weight) * otherHostsAverage;
    }

    /**
     * Returns the weight of a backend server's last report.
     *
     * @param server the backend server
     * @param now the time in nanoseconds
     * @return the weight from zero to one
     */
    private static double freshness(ServerState server, long now) {
        double age = now - server.reportedAt();
        return 1 / (1 + age / REPORT_HALF_LIFE_NANOSECONDS);
    }

    /**
     * Returns the estimated time that a request would take.
     *
     * @param server the backend server
     * @param otherHostsAverage the average number of other hosts' requests at the service's backend servers
     * @param now the time in nanoseconds
     * @return the time in nanoseconds
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
     * Returns the factor by which a backend server that started is disfavoured.
     *
     * @param server the backend server
     * @param now the time in nanoseconds
     * @return the factor, one once it is warm
     */
    private static double coldStartFactor(ServerState server, long now) {
        double warmUpShare = (now - server.warmUpStartedAt()) / WARM_UP_NANOSECONDS;
        return warmUpShare >= 1 ? 1 : 1 + COLD_START_WEIGHT * (1 - Math.max(0, warmUpShare));
    }
}
