package org.chivecourse.state.server;

/**
 * The recent condition of a backend server, as observed by this host and by others: failures, slowness, reachability,
 * health and response times.
 *
 * <p>Times are in nanoseconds of the host's monotonic clock.
 */
public final class ServerCondition {

    /** The half-life of a failure's weight, in nanoseconds. */
    private static final double FAILURE_HALF_LIFE_NANOSECONDS = 2_500_000_000.0;

    /** The maximum combined weight of all failures. */
    private static final double MAXIMUM_FAILURE_WEIGHT = 12;

    /** The time after which an unreachable or unhealthy status expires unless it is observed again, in nanoseconds. */
    private static final long STATUS_LIFETIME_NANOSECONDS = 1_000_000_000L;

    /** The weight of a new value in the moving average of the slowness. */
    private static final double SLOWNESS_WEIGHT = 0.05;

    /** The weight of a new value in the moving average of the response time ratio. */
    private static final double RESPONSE_TIME_RATIO_WEIGHT = 0.3;

    /** The half-life of the response time ratio's deviation from one, in nanoseconds. */
    private static final double RESPONSE_TIME_RATIO_HALF_LIFE_NANOSECONDS = 3_000_000_000.0;

    /** The reported slowness of a machine that works at its typical speed. */
    private static final double TYPICAL_SLOWNESS_PERCENT = 100;

    /** The combined weight of failures at {@code failureWeightAt}. */
    private double failureWeight;

    /** The time at which the failure weight was last updated. */
    private long failureWeightAt;

    /** The last reported slowness, one if typical, zero if none was reported. */
    private double slowness;

    /** The time of the last reported slowness. */
    private long slownessAt;

    /** The moving average of the reported slowness, zero if none was reported. */
    private double averageSlowness;

    /** The time at which the unreachable status expires. */
    private long unreachableUntil;

    /** Whether the backend server was found unreachable and has not been reached since; the status may have expired. */
    private boolean unreachable;

    /** The time of the latest sign that the process runs. */
    private long lastAliveAt = Long.MIN_VALUE / 2;

    /** Whether the backend server was found unreachable after the latest sign that its process runs. */
    private boolean silent;

    /** The time at which it was first found unreachable after that sign. */
    private long silentSince;

    /** The time at which it was last found unreachable. */
    private long lastUnreachableAt;

    /** The time at which the unhealthy status expires. */
    private long unhealthyUntil;

    /** Whether the backend server last reported that it is unhealthy; the status may have expired. */
    private boolean unhealthy;

    /** The moving average of response times, as a ratio to the expected ones, at {@code responseTimeRatioAt}. */
    private double responseTimeRatio = 1;

    /** The time at which the response time ratio was last updated. */
    private long responseTimeRatioAt;

    /**
     * Records a failure.
     *
     * @param now the current time
     */
    public void recordFailure(long now) {
        failureWeight = Math.min(MAXIMUM_FAILURE_WEIGHT, failureWeight(now) + 1);
        failureWeightAt = now;
    }

    /**
     * Records a success, which reduces the weight of earlier failures by a fifth and proves the backend server
     * reachable.
     *
     * @param now the current time
     */
    public void recordSuccess(long now) {
        failureWeight = Math.max(0, failureWeight(now) * 0.8);
        failureWeightAt = now;
        unreachable = false;
    }

    /**
     * Returns the combined weight of recent failures.
     *
     * @param now the current time
     * @return the number of failures, each weighted by its exponential decay
     */
    public double failureWeight(long now) {
        if (failureWeight == 0) {
            return 0;
        }
        return failureWeight * Math.pow(0.5, (now - failureWeightAt) / FAILURE_HALF_LIFE_NANOSECONDS);
    }

    /**
     * Records a reported slowness; ignored if the report carries none.
     *
     * @param percent the slowness in percent, a hundred if typical, zero if not reported
     * @param now the current time
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

    /** Returns the last reported slowness, one if typical, zero if none was reported. */
    public double slowness() {
        return slowness;
    }

    /** Returns the age of the last reported slowness, in nanoseconds. */
    public long slownessAge(long now) {
        return now - slownessAt;
    }

    /** Returns the moving average of the reported slowness, one if none was reported. */
    public double averageSlowness() {
        return averageSlowness == 0 ? 1 : averageSlowness;
    }

    /**
     * Records that the backend server could not be connected to or did not answer a probe.
     *
     * @param now the current time
     */
    public void markUnreachable(long now) {
        if (!silent) {
            silent = true;
            silentSince = now;
        }
        lastUnreachableAt = now;
        unreachable = true;
        unreachableUntil = now + STATUS_LIFETIME_NANOSECONDS;
    }

    /** Records that the backend server could be connected to. */
    public void markReachable() {
        unreachable = false;
    }

    /**
     * Records a sign that the process of the backend server runs, such as an answer.
     *
     * @param observedAt the time of the sign; earlier than the current time if another host observed it
     */
    public void recordAlive(long observedAt) {
        lastAliveAt = Math.max(lastAliveAt, observedAt);
        silent &= lastAliveAt - silentSince <= 0;
    }

    /** Returns the time of the latest sign that the process runs, a time in the distant past if there was none. */
    public long lastAliveAt() {
        return lastAliveAt;
    }

    /** Returns whether the backend server was found unreachable after the latest sign that its process runs. */
    public boolean isSilent() {
        return silent;
    }

    /**
     * Returns the time from the first to the last time at which it was found unreachable after the latest sign that its
     * process runs.
     *
     * @return the time in nanoseconds, zero if it was found unreachable once or not at all
     */
    public long silenceNanoseconds() {
        return silent ? lastUnreachableAt - silentSince : 0;
    }

    /** Returns the time at which it was first found unreachable after the latest sign that its process runs. */
    public long silentSince() {
        return silentSince;
    }

    /**
     * Returns whether the backend server was found unreachable within the status lifetime and has not been reached
     * since.
     *
     * @param now the current time
     * @return {@code true} if the status has not expired
     */
    public boolean isUnreachable(long now) {
        return unreachable && now - unreachableUntil < 0;
    }

    /**
     * Records the health that the backend server reported.
     *
     * @param healthy whether it reported that it is healthy
     * @param now the current time
     */
    public void recordHealth(boolean healthy, long now) {
        unhealthy = !healthy;
        unhealthyUntil = now + STATUS_LIFETIME_NANOSECONDS;
    }

    /**
     * Returns whether the backend server recently reported that it is unhealthy.
     *
     * @param now the current time
     * @return {@code true} if the status has not expired
     */
    public boolean isUnhealthy(long now) {
        return unhealthy && now - unhealthyUntil < 0;
    }

    /**
     * Records a response time. Ratios above ten count as ten, which bounds the effect of a single slow one.
     *
     * @param ratio the response time as a ratio to the expected one
     * @param now the current time
     */
    public void recordResponseTimeRatio(double ratio, long now) {
        double previous = responseTimeRatio(now);
        responseTimeRatio = previous + RESPONSE_TIME_RATIO_WEIGHT * (Math.min(ratio, 10) - previous);
        responseTimeRatioAt = now;
    }

    /**
     * Returns the moving average of response times as a ratio to the expected ones. It decays towards one while there
     * are no responses.
     *
     * @param now the current time
     * @return the ratio, one if nothing recent is known
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
