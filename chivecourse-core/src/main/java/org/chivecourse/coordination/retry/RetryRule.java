package org.chivecourse.coordination.retry;

import org.chivecourse.state.call.CallState;

/** Decides whether a call whose attempt ended without an answer may be retried. */
public enum RetryRule {
    /** The only instance. */
    INSTANCE;

    /** The number of attempts without a byte sent after which a call is no longer retried. */
    public static final int MAXIMUM_UNSENT_ATTEMPTS = 4;

    /**
     * Returns whether another attempt of a call may start. A call of which no byte was sent is retried without the
     * budget; otherwise the retry must be safe and is spent from the budget. Attempts without a byte sent are bounded
     * in both cases, since they cost the budget nothing.
     */
    public boolean allows(CallState call, RetryBudget budget, long now) {
        if (call.terms().deadline() - now <= 0) {
            return false;
        }
        if (call.unsentAttemptCount() >= MAXIMUM_UNSENT_ATTEMPTS) {
            return false;
        }
        if (call.sentAttemptCount() == 0) {
            return true;
        }
        boolean safe = call.terms().idempotent() || call.provablyNotRun();
        if (!safe || !call.terms().replayable()) {
            return false;
        }
        return call.sentAttemptCount() < call.terms().maximumAttempts() && budget.spend(now);
    }
}
