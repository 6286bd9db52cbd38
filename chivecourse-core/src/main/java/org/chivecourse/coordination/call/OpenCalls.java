package org.chivecourse.coordination.call;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.server.ServerState;

/** The calls without a final answer and their open attempts. */
final class OpenCalls {

    /** The calls without a final answer, by identifier. */
    private final Map<Long, CallState> calls = new HashMap<>();

    /** The attempts that have not ended, by identifier. */
    private final Map<Long, AttemptState> attempts = new HashMap<>();

    /** The calls without a final answer and without one under way, in the order of their deadlines. */
    private final TreeSet<CallState> deadlines = new TreeSet<>(CallState.BY_DEADLINE);

    /** The number of attempts so far. */
    private long attemptCount;

    /**
     * Adds a call.
     *
     * @param call the call
     */
    void add(CallState call) {
        calls.put(call.identifier(), call);
        deadlines.add(call);
    }

    /**
     * Returns a call.
     *
     * @param identifier the identifier of the call
     * @return the call, or {@code null} if it has its final answer
     */
    CallState call(long identifier) {
        return calls.get(identifier);
    }

    /**
     * Returns an attempt.
     *
     * @param identifier the identifier of the attempt
     * @return the attempt, or {@code null} if it has ended
     */
    AttemptState attempt(long identifier) {
        return attempts.get(identifier);
    }

    /**
     * Starts an attempt of a call.
     *
     * @param call the call
     * @param server the backend server
     * @param inFlight the estimated number of requests in flight at the backend server, this one included
     * @param now the time in nanoseconds
     * @return the attempt
     */
    AttemptState startAttempt(CallState call, ServerState server, double inFlight, long now) {
        AttemptState attempt = new AttemptState(++attemptCount, call, server, inFlight, now);
        call.addAttempt(attempt);
        call.enterPhase(CallPhase.ATTEMPTING);
        attempts.put(attempt.identifier(), attempt);
        return attempt;
    }

    /**
     * Ends an attempt.
     *
     * @param identifier the identifier of the attempt
     * @return the attempt, or {@code null} if it has ended before
     */
    AttemptState endAttempt(long identifier) {
        AttemptState attempt = attempts.remove(identifier);
        return attempt != null && attempt.end() ? attempt : null;
    }

    /**
     * Finishes a call and drops its open attempts.
     *
     * @param call the call
     * @param sink receives the decisions that follow
     */
    void finish(CallState call, DecisionSink sink) {
        call.enterPhase(CallPhase.FINISHED);
        deadlines.remove(call);
        calls.remove(call.identifier());
        dropAttemptsExcept(call, null, sink);
    }

    /**
     * Drops the open attempts of a call but one.
     *
     * @param call the call
     * @param kept the attempt that goes on, {@code null} for none
     * @param sink receives the decisions that follow
     */
    void dropAttemptsExcept(CallState call, AttemptState kept, DecisionSink sink) {
        for (AttemptState attempt : call.attempts()) {
            if (attempt != kept && !attempt.ended()) {
                endAttempt(attempt.identifier());
                sink.decide(new Decision.Drop(attempt.identifier()));
            }
        }
    }

    /**
     * Removes a call whose deadline has passed from the order of deadlines.
     *
     * @param now the time in nanoseconds
     * @return the call, or {@code null} if no deadline has passed
     */
    CallState pollExpired(long now) {
        if (deadlines.isEmpty() || deadlines.first().terms().deadline() - now > 0) {
            return null;
        }
        return deadlines.pollFirst();
    }

    /**
     * Returns the number of calls without a final answer.
     *
     * @return the number of calls
     */
    int size() {
        return calls.size();
    }
}
