package org.chivecourse.coordination.retry;

/** The bound on requests that are sent again, hedges included. */
public interface RepeatBudget {

    /**
     * Notes the arrival of a request.
     *
     * @param now the time in nanoseconds
     */
    void recordArrival(long now);

    /**
     * Takes a repeat from the budget.
     *
     * @param now the time in nanoseconds
     * @return {@code false} if the budget is spent
     */
    boolean spend(long now);

    /**
     * Gives back a repeat that reached no backend server.
     *
     * @param now the time in nanoseconds
     */
    void refund(long now);
}
