package org.chivecourse.coordination.choice;

/** The recent rate at which this host sends requests of a service, with exponentially decaying weights. */
public final class SendRate {

    /** The time in which the weight of a request decays to about a third. */
    private static final double TIME_CONSTANT_NANOSECONDS = 1_000_000_000;

    /** The rate at the last update, in requests per nanosecond. */
    private double rate;

    /** The time of the last update in nanoseconds. */
    private long updatedAt;

    /** Records that a request is sent now. */
    public void recordRequest(long now) {
        rate = perNanosecond(now) + 1 / TIME_CONSTANT_NANOSECONDS;
        updatedAt = now;
    }

    /** Returns the rate in requests per nanosecond. */
    public double perNanosecond(long now) {
        return rate == 0 ? 0 : rate * Math.exp(-(now - updatedAt) / TIME_CONSTANT_NANOSECONDS);
    }
}
