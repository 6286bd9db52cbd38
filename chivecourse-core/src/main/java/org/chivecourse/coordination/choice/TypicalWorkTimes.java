package org.chivecourse.coordination.choice;

import java.util.HashMap;
import java.util.Map;

/** The average time, by route, that requests take on a backend server of typical speed. */
public final class TypicalWorkTimes {

    /** The weight of a new time in the average. */
    private static final double WEIGHT = 0.05;

    /** The maximum number of routes with an average of their own. Bounds the memory used. */
    private static final int MAXIMUM_ROUTES = 2000;

    /** The share of the target latency that is assumed for a route without a known time. */
    private static final double DEFAULT_TARGET_SHARE = 0.45;

    /** The average time by route, in nanoseconds. */
    private final Map<String, Double> averages = new HashMap<>();

    /**
     * Records the time of an answer.
     *
     * @param nanoseconds the time that it would have taken on a backend server of typical speed
     */
    public void record(String route, double nanoseconds) {
        Double known = averages.get(route);
        if (known == null && averages.size() >= MAXIMUM_ROUTES) {
            return;
        }
        averages.put(route, known == null ? nanoseconds : known + WEIGHT * (nanoseconds - known));
    }

    /**
     * Returns the typical time of a request in nanoseconds.
     *
     * @param targetNanoseconds the target latency of the route, from which the time is derived if none is known
     */
    public double nanoseconds(String route, long targetNanoseconds) {
        Double known = averages.get(route);
        return known == null ? DEFAULT_TARGET_SHARE * targetNanoseconds : known;
    }
}
