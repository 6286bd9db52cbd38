package org.chivecourse.coordination.hedge;

/** A running estimate of the 95th percentile of response times. */
public final class LatencyPercentile {

    /** The share of answers that take at most the estimated time. */
    private static final double PERCENTILE_SHARE = 0.95;

    /** The step of the estimate as a share of the average time. */
    private static final double STEP_SHARE = 0.05;

    /** The weight of a new time in the average. */
    private static final double AVERAGE_WEIGHT = 0.02;

    /** The average time in nanoseconds. */
    private double average;

    /** The estimate in nanoseconds. */
    private double estimate;

    /** Adds a response time in nanoseconds. The first one sets the estimate to twice its value. */
    public void record(long nanoseconds) {
        if (average == 0) {
            average = nanoseconds;
            estimate = 2.0 * nanoseconds;
            return;
        }
        average += AVERAGE_WEIGHT * (nanoseconds - average);
        double direction = nanoseconds > estimate ? PERCENTILE_SHARE : PERCENTILE_SHARE - 1;
        estimate = Math.max(0, estimate + STEP_SHARE * average * direction);
    }

    /** Returns the estimate in nanoseconds, zero before the first answer. */
    public long nanoseconds() {
        return (long) estimate;
    }
}
