package org.chivecourse.coordination.choice;

import java.util.HashMap;
import java.util.Map;

/** The time that requests take on a backend server that works as usual, by route. */
public final class TypicalWorkTimes {

    /** The weight of a new value in the average. */
    private static final double WEIGHT = 0.05;

    /** The largest number of routes that are told apart. */
    private static final int MAXIMUM_ROUTES = 2000;

    /** The share of the target latency that work takes where nothing is known. */
    private static final double DEFAULT_TARGET_SHARE = 0.45;

    /** The average time by route, in nanoseconds. */
    private final Map<String, Double> averages = new HashMap<>();

    /**
     * Notes the time of an answer.
     *
     * @param route the name of the route
     * @param nanoseconds the time that it would have taken on a backend server that works as usual
     */
    public void record(String route, double nanoseconds) {
        Double known = averages.get(route);
        if (known == null && averages.size() >= MAXIMUM_ROUTES) {
            return;
        }
        averages.put(route, known == null ? nanoseconds : known + WEIGHT * (nanoseconds - known));
    }

    /**
     * Returns the time that a request takes on a backend server that works as usual.
     *
     * @param route the name of the route
     * @param targetNanoseconds the target latency of the route, in nanoseconds
     * @return the time in nanoseconds
     */
    public double nanoseconds(String route, long targetNanoseconds) {
        Double known = averages.get(route);
        return known == null ? DEFAULT_TARGET_SHARE * targetNanoseconds : known;
    }
}
