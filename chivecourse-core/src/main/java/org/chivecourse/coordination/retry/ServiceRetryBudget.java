package org.chivecourse.coordination.retry;

/** A bound on repeated requests as a share of first ones. */
public final class ServiceRetryBudget implements RepeatBudget {

    /** The number of repeated requests that may be saved up. */
    private static final double MAXIMUM_BALANCE_RETRIES = 20;

    /** The share of requests that may be repeated. */
    private double share;

    /** The number of requests that may be repeated now. */
    private double balance = MAXIMUM_BALANCE_RETRIES;

    /**
     * Creates a budget.
     *
     * @param percent the share of requests that may be repeated, in percent
     */
    public ServiceRetryBudget(int percent) {
        changePercent(percent);
    }

    /**
     * Changes the share.
     *
     * @param percent the share of requests that may be repeated, in percent
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
