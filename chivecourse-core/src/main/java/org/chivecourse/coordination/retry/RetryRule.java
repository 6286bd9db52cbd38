package org.chivecourse.coordination.retry;

import org.chivecourse.state.call.CallState;
import org.chivecourse.state.call.Evidence;

/** Decides whether a call whose attempt ended without an answer may be retried. */
public enum RetryRule {
    /** The only instance. */
    INSTANCE;

    /** The number of attempts after which a call of which no byte was ever sent is no longer retried. */
    public static final int MAXIMUM_UNSENT_ATTEMPTS = 4;

    /**
     * Returns whether another attempt of a call may start. A call of which no byte was sent is retried without the
     * budget; otherwise the retry must be safe and is spent from the budget.
     */
    public boolean allows(CallState call, RetryBudget budget, long now) {
        if (call.terms().deadline() - now <= 0) {
            return false;
        }
        if (onlyUnsent(call)) {
            return call.attempts().size() < MAXIMUM_UNSENT_ATTEMPTS;
        }
        boolean safe = call.terms().idempotent() || call.provablyNotRun();
        if (!safe || !call.terms().replayable()) {
            return false;
        }
        return call.sentAttemptCount() < call.terms().maximumAttempts() && budget.spend(now);
    }

    /** Returns whether no attempt of a call has written a byte to a connection. */
    private static boolean onlyUnsent(CallState call) {
        return call.attempts().stream().allMatch(attempt -> attempt.evidence() == Evidence.NOT_SENT);
    }
}
