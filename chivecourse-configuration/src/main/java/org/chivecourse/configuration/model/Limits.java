package org.chivecourse.configuration.model;

import java.time.Duration;

/**
 * The limits for the time, the queue and the retries of a service's requests.
 *
 * @param deadline the time within which a request has to be answered
 * @param queueLimit the number of requests that may wait on each gateway
 * @param retryBudgetPercent the number of retries and hedges that are allowed, in percent of the number of requests
 */
public record Limits(Duration deadline, int queueLimit, int retryBudgetPercent) {

    /** The limits of a service whose configuration does not state them. */
    public static final Limits DEFAULT = new Limits(Duration.ofSeconds(2), 256, 10);

    /**
     * Returns a copy of these limits with another deadline.
     *
     * @param newDeadline the time within which a request has to be answered
     * @return the changed limits
     */
    public Limits deadline(Duration newDeadline) {
        return new Limits(newDeadline, queueLimit, retryBudgetPercent);
    }

    /**
     * Returns a copy of these limits with another queue limit.
     *
     * @param newQueueLimit the number of requests that may wait on each gateway
     * @return the changed limits
     */
    public Limits queueLimit(int newQueueLimit) {
        return new Limits(deadline, newQueueLimit, retryBudgetPercent);
    }

    /**
     * Returns a copy of these limits with another retry budget.
     *
     * @param newRetryBudgetPercent the number of retries and hedges that are allowed, in percent of the number of
     *     requests
     * @return the changed limits
     */
    public Limits retryBudgetPercent(int newRetryBudgetPercent) {
        return new Limits(deadline, queueLimit, newRetryBudgetPercent);
    }
}
