package org.chivecourse.coordination.retry;

import org.chivecourse.state.call.CallState;
import org.chivecourse.state.call.Evidence;

/** The rule that says whether a call whose attempt ended without an answer may be sent again. */
public enum RetryRule {
    /** The only instance. */
    INSTANCE;

    /** The number of attempts of which no byte was sent after which a host gives up. */
    public static final int MAXIMUM_UNSENT_ATTEMPTS = 4;

    /**
     * Returns whether a call may be sent again.
     *
     * @param call the call
     * @param budget the budget of the call's service, spent if it is needed
     * @param now the time in nanoseconds
     * @return {@code true} if another attempt may start
     */
    public boolean allows(CallState call, RepeatBudget budget, long now) {
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
        return call.attemptsSent() < call.terms().maximumAttempts() && budget.spend(now);
    }

    /**
     * Returns whether no attempt of a call has handed a byte to a connection.
     *
     * @param call the call
     * @return {@code true} if nothing was sent
     */
    private static boolean onlyUnsent(CallState call) {
        return call.attempts().stream().allMatch(attempt -> attempt.evidence() == Evidence.NOT_SENT);
    }
}
