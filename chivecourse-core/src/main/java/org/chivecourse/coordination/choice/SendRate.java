package org.chivecourse.coordination.choice;

/** The rate at which a host has sent requests of a service of late. */
public final class SendRate {

    /** The time in which the weight of a request falls to a third, in nanoseconds. */
    private static final double TIME_CONSTANT_NANOSECONDS = 1_000_000_000;

    /** The requests per nanosecond at a time. */
    private double rate;

    /** The time of that rate, in nanoseconds. */
    private long updatedAt;

    /**
     * Notes a request.
     *
     * @param now the time in nanoseconds
     */
    public void recordRequest(long now) {
        rate = perNanosecond(now) + 1 / TIME_CONSTANT_NANOSECONDS;
        updatedAt = now;
    }

    /**
     * Returns the rate.
     *
     * @param now the time in nanoseconds
     * @return the requests per nanosecond
     */
    public double perNanosecond(long now) {
        return rate == 0 ? 0 : rate * Math.exp(-(now - updatedAt) / TIME_CONSTANT_NANOSECONDS);
    }
}
