package org.chivecourse.coordination.reservation;

/**
 * Estimates within which time replies about slots come, from the mean and the deviation of those that came, late ones
 * included, as TCP does for acknowledgements (RFC 6298). Times are in nanoseconds.
 */
final class ReplyTimeEstimate {

    /** The shortest time after which a reply counts as late. */
    private static final long MINIMUM_TIMEOUT_NANOSECONDS = 40_000_000L;

    /** The longest time for which a call waits for one reply. */
    private static final long MAXIMUM_TIMEOUT_NANOSECONDS = 80_000_000L;

    /** The weight of one reply in the mean. */
    private static final double MEAN_WEIGHT = 1.0 / 8;

    /** The weight of one reply in the deviation. */
    private static final double DEVIATION_WEIGHT = 1.0 / 4;

    /** The number of deviations beyond the mean within which nearly all replies come. */
    private static final double DEVIATIONS = 4;

    /** The mean time, negative before the first reply. */
    private double mean = -1;

    /** The mean deviation from the mean. */
    private double deviation;

    /** Records the time from a request to its reply. */
    void record(long nanoseconds) {
        if (mean < 0) {
            mean = nanoseconds;
            deviation = nanoseconds / 2.0;
            return;
        }
        deviation += DEVIATION_WEIGHT * (Math.abs(nanoseconds - mean) - deviation);
        mean += MEAN_WEIGHT * (nanoseconds - mean);
    }

    /** Returns whether replies usually take longer than a time, and than the shortest one that counts as late. */
    boolean slowerThan(long nanoseconds) {
        return mean > Math.max(MINIMUM_TIMEOUT_NANOSECONDS, nanoseconds);
    }

    /** Returns the time after which a reply counts as late. */
    long timeoutNanoseconds() {
        long estimated = (long) (mean + DEVIATIONS * deviation);
        return Math.min(MAXIMUM_TIMEOUT_NANOSECONDS, Math.max(MINIMUM_TIMEOUT_NANOSECONDS, estimated));
    }
}
