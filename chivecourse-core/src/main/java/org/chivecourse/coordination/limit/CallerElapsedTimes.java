package org.chivecourse.coordination.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates, by route, how long callers have been trying to get an answer. Callers grant similar times to new requests
 * and come back after a refusal with what is left of them.
 */
public final class CallerElapsedTimes {

    /** The share of requests that grant at most the long time of their route. */
    private static final double LONG_TIME_PERCENTILE_SHARE = 0.9;

    /** The step of the estimate of the long time, as a share of it. */
    private static final double STEP_SHARE = 0.05;

    /** The share of the long time that each new request is expected to grant. */
    private static final double NEW_REQUEST_SHARE = 0.8;

    /** The maximum number of routes with an estimate. Bounds the memory used. */
    private static final int MAXIMUM_ROUTES = 2000;

    /** The estimated long times by route, in nanoseconds. */
    private final Map<String, Double> longTimes = new HashMap<>();

    /**
     * Records the time that a caller grants, and returns the time for which it has surely been trying.
     *
     * @param route the route of the request
     * @param grantedNanoseconds the time that the caller still waits, zero if it did not say
     * @return the time in nanoseconds, zero if the request may be new
     */
    public long record(String route, long grantedNanoseconds) {
        if (grantedNanoseconds <= 0) {
            return 0;
        }
        Double known = longTimes.get(route);
        if (known == null) {
            if (longTimes.size() < MAXIMUM_ROUTES) {
                longTimes.put(route, (double) grantedNanoseconds);
            }
            return 0;
        }
        double updated = update(known, grantedNanoseconds);
        longTimes.put(route, updated);
        return Math.max(0, (long) (NEW_REQUEST_SHARE * updated) - grantedNanoseconds);
    }

    /** Moves the estimate of a percentile towards a new value, at most to that value. */
    private static double update(double estimate, double value) {
        double step = STEP_SHARE * estimate;
        return value > estimate
                ? Math.min(value, estimate + LONG_TIME_PERCENTILE_SHARE * step)
                : Math.max(value, estimate - (1 - LONG_TIME_PERCENTILE_SHARE) * step);
    }
}
