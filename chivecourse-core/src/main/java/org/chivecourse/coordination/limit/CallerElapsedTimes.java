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

    /**
     * The number of requests of a route from which on the estimate moves in steps. Until then it is the second longest
     * time, so that after a start, when most callers come back, few new requests suffice and one odd caller does not.
     */
    private static final int FIRST_REQUESTS = 6;

    /** The maximum number of routes with an estimate. Bounds the memory used. */
    private static final int MAXIMUM_ROUTES = 2000;

    /** The estimated long times by route. */
    private final Map<String, LongTime> longTimes = new HashMap<>();

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
        LongTime known = longTimes.get(route);
        if (known == null) {
            if (longTimes.size() < MAXIMUM_ROUTES) {
                longTimes.put(route, new LongTime(grantedNanoseconds));
            }
            return 0;
        }
        double longTime = known.record(grantedNanoseconds);
        return Math.max(0, (long) (NEW_REQUEST_SHARE * longTime) - grantedNanoseconds);
    }

    /** The estimated long time of a route. */
    private static final class LongTime {

        /** The estimate in nanoseconds. */
        private double estimate;

        /** The longest time granted by one of the first requests, in nanoseconds. */
        private double longest;

        /** The number of requests recorded, at most {@link #FIRST_REQUESTS}. */
        private int requests = 1;

        /**
         * Creates an estimate from a first request.
         *
         * @param granted the time that its caller granted, in nanoseconds
         */
        private LongTime(double granted) {
            estimate = granted;
            longest = granted;
        }

        /**
         * Records the time that a caller grants.
         *
         * @param granted the time in nanoseconds
         * @return the estimate in nanoseconds
         */
        private double record(double granted) {
            if (requests < FIRST_REQUESTS) {
                requests++;
                estimate = requests == 2 ? Math.min(longest, granted) : Math.max(estimate, Math.min(longest, granted));
                longest = Math.max(longest, granted);
            } else {
                move(granted);
            }
            return estimate;
        }

        /** Moves the estimate of a percentile towards a new value, at most to that value. */
        private void move(double granted) {
            double step = STEP_SHARE * estimate;
            estimate = granted > estimate
                    ? Math.min(granted, estimate + LONG_TIME_PERCENTILE_SHARE * step)
                    : Math.max(granted, estimate - (1 - LONG_TIME_PERCENTILE_SHARE) * step);
        }
    }
}
