package org.chivecourse.coordination.retry;

/**
 * A retry budget that grows by a share of the arriving requests, for a host that does not share a bound with others.
 */
public final class ServiceRetryBudget implements RetryBudget {

    /** The maximum balance. */
    private static final double MAXIMUM_BALANCE_RETRIES = 20;

    /** The share of requests that may be retried. */
    private double share;

    /** The number of retries that may be spent now. */
    private double balance = MAXIMUM_BALANCE_RETRIES;

    /**
     * Creates a budget with the maximum balance, or an empty one at zero percent.
     *
     * @param percent the share of requests that may be retried, in percent
     */
    public ServiceRetryBudget(int percent) {
        changePercent(percent);
    }

    /**
     * Changes the share. Zero percent also clears the balance.
     *
     * @param percent the share of requests that may be retried, in percent
     */
    public void changePercent(int percent) {
        share = percent / 100.0;
        balance = Math.min(balance, percent == 0 ? 0 : MAXIMUM_BALANCE_RETRIES);
    }

    @Override
    public void recordArrival(long now) {
        balance = Math.min(MAXIMUM_BALANCE_RETRIES, balance + share);
    }

    @Override
    public void refund(long now) {
        balance = Math.min(MAXIMUM_BALANCE_RETRIES, balance + 1);
    }

    @Override
    public boolean spend(long now) {
        if (balance < 1) {
            return false;
        }
        balance--;
        return true;
    }
}
