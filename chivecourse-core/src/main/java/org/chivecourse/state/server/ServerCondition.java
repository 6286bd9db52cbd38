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
    private static final double LARGEST_FAILURES = 12;

    /** The time for which a sign of trouble holds, in nanoseconds. */
    private static final long SIGN_NANOSECONDS = 1_000_000_000L;

    /** The weight of a new value in the average slowness. */
    private static final double SLOWNESS_WEIGHT = 0.05;

    /** The weight of a new value in the relative time. */
    private static final double RELATIVE_WEIGHT = 0.3;

    /** The time in which what is known of the relative time loses half its weight, in nanoseconds. */
    private static final double RELATIVE_HALF_LIFE_NANOSECONDS = 3_000_000_000.0;

    /** The slowness of a machine that works as usual. */
    private static final double USUAL_PERCENT = 100;

    /** The weight of recent failures at a time. */
    private double failures;

    /** The time of that weight. */
    private long failuresAt;

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
    private long unwellUntil;

    /** Whether the backend server ever said that it was unwell. */
    private boolean unwell;

    /** The time that answers took in proportion to what was expected. */
    private double relative = 1;

    /** The time of the last answer. */
    private long relativeAt;

    /**
     * Notes a failure.
     *
     * @param now the time
     */
    public void failed(long now) {
        failures = Math.min(LARGEST_FAILURES, failures(now) + 1);
        failuresAt = now;
    }

    /**
     * Notes a success, which takes some of the weight off earlier failures.
     *
     * @param now the time
     */
    public void succeeded(long now) {
        failures = Math.max(0, failures(now) * 0.8);
        failuresAt = now;
        unreachable = false;
    }

    /**
     * Returns the weight of recent failures.
     *
     * @param now the time
     * @return the number of failures, each halved with its age
     */
    public double failures(long now) {
        if (failures == 0) {
            return 0;
        }
        return failures * Math.pow(0.5, (now - failuresAt) / FAILURE_HALF_LIFE_NANOSECONDS);
    }

    /**
     * Notes a stated slowness.
     *
     * @param percent the slowness, a hundred as usual, zero if none was stated
     * @param now the time
     */
    public void slowness(int percent, long now) {
        if (percent <= 0) {
            return;
        }
        slowness = percent / USUAL_PERCENT;
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
    public void unreachable(long now) {
        unreachable = true;
        unreachableUntil = now + SIGN_NANOSECONDS;
    }

    /**
     * Notes that the backend server could be connected to.
     */
    public void reachable() {
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
     * @param well whether it does
     * @param now the time
     */
    public void says(boolean well, long now) {
        unwell = !well;
        unwellUntil = now + SIGN_NANOSECONDS;
    }

    /**
     * Returns whether the backend server said recently that it is unwell.
     *
     * @param now the time
     * @return {@code true} if it did
     */
    public boolean isUnwell(long now) {
        return unwell && now - unwellUntil < 0;
    }

    /**
     * Notes the time that an answer took.
     *
     * @param proportion the time in proportion to what was expected
     * @param now the time
     */
    public void took(double proportion, long now) {
        double before = relative(now);
        relative = before + RELATIVE_WEIGHT * (Math.min(proportion, 10) - before);
        relativeAt = now;
    }

    /**
     * Returns the time that answers take in proportion to what is expected.
     *
     * @param now the time
     * @return the proportion, one if nothing recent is known
     */
    public double relative(long now) {
        if (relative == 1) {
            return 1;
        }
        return 1 + (relative - 1) * Math.pow(0.5, (now - relativeAt) / RELATIVE_HALF_LIFE_NANOSECONDS);
    }
}
