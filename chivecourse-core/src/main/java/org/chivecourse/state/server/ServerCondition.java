package org.chivecourse.state.server;

/**
 * How well a backend server has worked of late, from what this host and others saw of it.
 *
 * <p>Times are in nanoseconds of the host's monotonic clock.
 */
public final class ServerCondition {

    /** The time in which the weight of a failure halves, in nanoseconds. */
    private static final double FAILURE_HALF_LIFE_NANOSECONDS = 2_500_000_000.0;

    /** The largest weight of all failures together. */
    private static final double MAXIMUM_FAILURE_WEIGHT = 12;

    /** The time for which a sign of trouble holds, in nanoseconds. */
    private static final long STATUS_LIFETIME_NANOSECONDS = 1_000_000_000L;

    /** The weight of a new value in the average slowness. */
    private static final double SLOWNESS_WEIGHT = 0.05;

    /** The weight of a new value in the relative time. */
    private static final double RESPONSE_TIME_RATIO_WEIGHT = 0.3;

    /** The time in which what is known of the relative time loses half its weight, in nanoseconds. */
    private static final double RESPONSE_TIME_RATIO_HALF_LIFE_NANOSECONDS = 3_000_000_000.0;

    /** The slowness of a machine that works as usual. */
    private static final double TYPICAL_SLOWNESS_PERCENT = 100;

    /** The weight of recent failures at a time. */
    private double failureWeight;

    /** The time of that weight. */
    private long failureWeightAt;

    /** The last stated slowness, one as usual, zero if none was stated. */
    private double slowness;

    /** The time of the last stated slowness. */
    private long slownessAt;

    /** The average stated slowness, zero if none was stated. */
    private double averageSlowness;

    /** The time until which the backend server counts as unreachable. */
    private long unreachableUntil;

    /** Whether the backend server was ever unreachable. */
    private boolean unreachable;

    /** The time until which the backend server counts as unwell. */
    private long unhealthyUntil;

    /** Whether the backend server ever said that it was unwell. */
    private boolean unhealthy;

    /** The time that answers took in proportion to what was expected. */
    private double responseTimeRatio = 1;

    /** The time of the last answer. */
    private long responseTimeRatioAt;

    /**
     * Notes a failure.
     *
     * @param now the time
     */
    public void recordFailure(long now) {
        failureWeight = Math.min(MAXIMUM_FAILURE_WEIGHT, failureWeight(now) + 1);
        failureWeightAt = now;
    }

    /**
     * Notes a success, which takes some of the weight off earlier failures.
     *
     * @param now the time
     */
    public void recordSuccess(long now) {
        failureWeight = Math.max(0, failureWeight(now) * 0.8);
        failureWeightAt = now;
        unreachable = false;
    }

    /**
     * Returns the weight of recent failures.
     *
     * @param now the time
     * @return the number of failures, each halved with its age
     */
    public double failureWeight(long now) {
        if (failureWeight == 0) {
            return 0;
        }
        return failureWeight * Math.pow(0.5, (now - failureWeightAt) / FAILURE_HALF_LIFE_NANOSECONDS);
    }

    /**
     * Notes a stated slowness.
     *
     * @param percent the slowness, a hundred as usual, zero if none was stated
     * @param now the time
     */
    public void recordSlowness(int percent, long now) {
        if (percent <= 0) {
            return;
        }
        slowness = percent / TYPICAL_SLOWNESS_PERCENT;
        slownessAt = now;
        averageSlowness =
                averageSlowness == 0 ? slowness : averageSlowness + SLOWNESS_WEIGHT * (slowness - averageSlowness);
    }

    /**
     * Returns the last stated slowness.
     *
     * @return the slowness, one as usual, zero if none was stated
     */
    public double slowness() {
        return slowness;
    }

    /**
     * Returns the age of the last stated slowness.
     *
     * @param now the time
     * @return the age in nanoseconds
     */
    public long slownessAge(long now) {
        return now - slownessAt;
    }

    /**
     * Returns the average stated slowness.
     *
     * @return the average, one if none was stated
     */
    public double averageSlowness() {
        return averageSlowness == 0 ? 1 : averageSlowness;
    }

    /**
     * Notes that the backend server could not be connected to or did not answer a probe.
     *
     * @param now the time
     */
    public void markUnreachable(long now) {
        unreachable = true;
        unreachableUntil = now + STATUS_LIFETIME_NANOSECONDS;
    }

    /**
     * Notes that the backend server could be connected to.
     */
    public void markReachable() {
        unreachable = false;
    }

    /**
     * Returns whether the backend server counts as unreachable.
     *
     * @param now the time
     * @return {@code true} if it was found so recently
     */
    public boolean isUnreachable(long now) {
        return unreachable && now - unreachableUntil < 0;
    }

    /**
     * Notes whether the backend server says that it is well.
     *
     * @param healthy whether it does
     * @param now the time
     */
    public void recordHealth(boolean healthy, long now) {
        unhealthy = !healthy;
        unhealthyUntil = now + STATUS_LIFETIME_NANOSECONDS;
    }

    /**
     * Returns whether the backend server said recently that it is unwell.
     *
     * @param now the time
     * @return {@code true} if it did
     */
    public boolean isUnhealthy(long now) {
        return unhealthy && now - unhealthyUntil < 0;
    }

    /**
     * Notes the time that an answer took.
     *
     * @param ratio the time in proportion to what was expected
     * @param now the time
     */
    public void recordResponseTimeRatio(double ratio, long now) {
        double previous = responseTimeRatio(now);
        responseTimeRatio = previous + RESPONSE_TIME_RATIO_WEIGHT * (Math.min(ratio, 10) - previous);
        responseTimeRatioAt = now;
    }

    /**
     * Returns the time that answers take in proportion to what is expected.
     *
     * @param now the time
     * @return the proportion, one if nothing recent is known
     */
    public double responseTimeRatio(long now) {
        if (responseTimeRatio == 1) {
            return 1;
        }
        return 1
                + (responseTimeRatio - 1)
                        * Math.pow(0.5, (now - responseTimeRatioAt) / RESPONSE_TIME_RATIO_HALF_LIFE_NANOSECONDS);
    }
}
