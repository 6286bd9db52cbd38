package org.chivecourse.coordination.retry;

/** A bound on repeated requests as a share of first ones. */
public final class RetryBudget implements RepeatBudget {

    /** The number of repeated requests that may be saved up. */
    private static final double LARGEST_BALANCE = 20;

    /** The share of requests that may be repeated. */
    private double share;

    /** The number of requests that may be repeated now. */
    private double balance = LARGEST_BALANCE;

    /**
     * Creates a budget.
     *
     * @param percent the share of requests that may be repeated, in percent
     */
    public RetryBudget(int percent) {
        percent(percent);
    }

    /**
     * Changes the share.
     *
     * @param percent the share of requests that may be repeated, in percent
     */
    public void percent(int percent) {
        share = percent / 100.0;
        balance = Math.min(balance, percent == 0 ? 0 : LARGEST_BALANCE);
    }

    @Override
    public void arrived(long now) {
        balance = Math.min(LARGEST_BALANCE, balance + share);
    }

    @Override
    public void refund(long now) {
        balance = Math.min(LARGEST_BALANCE, balance + 1);
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
