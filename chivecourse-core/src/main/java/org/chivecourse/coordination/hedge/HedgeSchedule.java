package org.chivecourse.coordination.hedge;

import java.util.ArrayDeque;
import java.util.Deque;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallState;

/** The calls of a service that get a second copy unless they are answered within the usual time. */
public final class HedgeSchedule {

    /** The largest number of calls that are kept. */
    private static final int MAXIMUM_ATTEMPTS = 10_000;

    /** The time that answers usually take. */
    private final LatencyPercentile latencyPercentile = new LatencyPercentile();

    /** The attempts in the order of their start. */
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
     * Schedules a copy of a call whose first attempt was just sent.
     *
     * @param attempt the attempt
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
     * Returns the next call that has waited for its answer longer than usual.
     *
     * @param now the time in nanoseconds
     * @return the call, or {@code null} if there is none
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
