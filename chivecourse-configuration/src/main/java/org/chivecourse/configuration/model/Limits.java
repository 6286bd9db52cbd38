package org.chivecourse.configuration.model;

import java.time.Duration;

/**
 * The bounds on the time, the waiting and the repetition of a service's requests.
 *
 * @param deadline the time for a request
 * @param queueLimit the number of requests that wait on one gateway
 * @param retryBudgetPercent the share of requests that may be sent again, in percent
 */
public record Limits(Duration deadline, int queueLimit, int retryBudgetPercent) {

    /** The limits where nothing else is said. */
    public static final Limits DEFAULT = new Limits(Duration.ofSeconds(2), 256, 10);

    /**
     * Returns these limits with another deadline.
     *
     * @param newDeadline the time for a request
     * @return the changed limits
     */
    public Limits deadline(Duration newDeadline) {
        return new Limits(newDeadline, queueLimit, retryBudgetPercent);
    }

    /**
     * Returns these limits with another bound on waiting.
     *
     * @param newQueueLimit the number of requests that wait on one gateway
     * @return the changed limits
     */
    public Limits queueLimit(int newQueueLimit) {
        return new Limits(deadline, newQueueLimit, retryBudgetPercent);
    }

    /**
     * Returns these limits with another bound on repetition.
     *
     * @param newRetryBudgetPercent the share of requests that may be sent again, in percent
     * @return the changed limits
     */
    public Limits retryBudgetPercent(int newRetryBudgetPercent) {
        return new Limits(deadline, queueLimit, newRetryBudgetPercent);
    }
}
