package org.chivecourse.coordination.retry;

/** A bound on the retries and hedges of a service. */
public interface RetryBudget {

    /** Records the arrival of a request, which may raise the bound. */
    void recordArrival(long now);

    /** Spends one retry and returns {@code true}, or returns {@code false} if the budget is exhausted. */
    boolean spend(long now);

    /** Returns a retry that reached no backend server to the budget. */
    void refund(long now);
}
