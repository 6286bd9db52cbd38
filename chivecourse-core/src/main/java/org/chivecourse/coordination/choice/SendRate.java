package org.chivecourse.coordination.choice;

/** The rate at which a host has sent requests of a service of late. */
public final class SendRate {

    /** The time in which the weight of a request falls to a third, in nanoseconds. */
    private static final double MEMORY_NANOSECONDS = 1_000_000_000;

    /** The requests per nanosecond at a time. */
    private double rate;

    /** The time of that rate, in nanoseconds. */
    private long at;

    /**
     * Notes a request.
     *
     * @param now the time in nanoseconds
     */
    public void sent(long now) {
        rate = perNanosecond(now) + 1 / MEMORY_NANOSECONDS;
        at = now;
    }

    /**
     * Returns the rate.
     *
     * @param now the time in nanoseconds
     * @return the requests per nanosecond
     */
    public double perNanosecond(long now) {
        return rate == 0 ? 0 : rate * Math.exp(-(now - at) / MEMORY_NANOSECONDS);
    }
}
