package org.chivecourse.coordination.hedge;

import java.util.ArrayDeque;
import java.util.Deque;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallState;

/** The calls of a service that get a hedge unless they are answered within the typical time. */
public final class HedgeSchedule {

    /** The maximum number of scheduled attempts. Bounds the memory used. */
    private static final int MAXIMUM_ATTEMPTS = 10_000;

    /** Estimates the time within which most answers arrive. */
    private final LatencyPercentile latencyPercentile = new LatencyPercentile();

    /** The scheduled attempts in the order in which they were sent. */
    private final Deque<AttemptState> attempts = new ArrayDeque<>();

    /**
     * Records an answer.
     *
     * @param nanoseconds the time since its request was sent
     */
    public void recordAnswer(long nanoseconds) {
        latencyPercentile.record(nanoseconds);
    }

    /**
     * Schedules a hedge for a call whose first attempt has just been sent. Ignored if the call may not be hedged or the
     * schedule is full.
     */
    public void schedule(AttemptState attempt) {
        CallState call = attempt.call();
        boolean hedged = call.terms().hedged()
                && call.terms().idempotent()
                && call.terms().replayable()
                && call.attempts().size() == 1;
        if (hedged && attempts.size() < MAXIMUM_ATTEMPTS) {
            attempts.addLast(attempt);
        }
    }

    /**
     * Removes and returns the next call that has waited for its answer longer than is typical, or returns {@code null}
     * if there is none. Attempts that become due before the first answer of the service are dropped without a hedge.
     */
    public CallState pollDue(long now) {
        while (!attempts.isEmpty()) {
            AttemptState first = attempts.peekFirst();
            boolean open = !first.ended() && first.call().phase() == CallPhase.ATTEMPTING;
            if (open && now - first.sentAt() < Math.max(latencyPercentile.nanoseconds(), 1)) {
                return null;
            }
            attempts.removeFirst();
            if (open && latencyPercentile.nanoseconds() > 0) {
                return first.call();
            }
        }
        return null;
    }
}
