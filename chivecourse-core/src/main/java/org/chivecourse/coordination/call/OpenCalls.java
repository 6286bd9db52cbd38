package org.chivecourse.coordination.call;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeSet;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.server.ServerState;

/** Holds the calls without a final answer and their open attempts. */
final class OpenCalls {

    /** The calls by identifier. */
    private final Map<Long, CallState> calls = new HashMap<>();

    /** The attempts that have not ended, by identifier. */
    private final Map<Long, AttemptState> attempts = new HashMap<>();

    /** The calls whose deadline has not yet been handled, in the order of their deadlines. */
    private final TreeSet<CallState> deadlines = new TreeSet<>(CallState.BY_DEADLINE);

    /** The calls whose answer was being delivered at their deadline, in the order in which it has to end. */
    private final PriorityQueue<OverdueDelivery> overdueDeliveries =
            new PriorityQueue<>(Comparator.comparingLong(OverdueDelivery::until));

    /** The number of attempts started so far, which is also the identifier of the last one. */
    private long attemptCount;

    /** Adds a call. */
    void add(CallState call) {
        calls.put(call.identifier(), call);
        deadlines.add(call);
    }

    /** Returns a call, or {@code null} if it has its final answer. */
    CallState call(long identifier) {
        return calls.get(identifier);
    }

    /** Returns the calls at this moment, in the order of their arrival. */
    List<CallState> all() {
        return calls.values().stream()
                .sorted(Comparator.comparingLong(CallState::identifier))
                .toList();
    }

    /** Returns an attempt, or {@code null} if it has ended. */
    AttemptState attempt(long identifier) {
        return attempts.get(identifier);
    }

    /**
     * Creates an attempt of a call and puts the call in the phase {@link CallPhase#ATTEMPTING}.
     *
     * @param inFlight the estimated number of requests in flight at the backend server, this one included
     */
    AttemptState startAttempt(CallState call, ServerState server, double inFlight, long now) {
        AttemptState attempt = new AttemptState(++attemptCount, call, server, inFlight, now);
        call.addAttempt(attempt);
        call.enterPhase(CallPhase.ATTEMPTING);
        attempts.put(attempt.identifier(), attempt);
        return attempt;
    }

    /** Ends an attempt and returns it, or returns {@code null} if it had already ended. */
    AttemptState endAttempt(long identifier) {
        AttemptState attempt = attempts.remove(identifier);
        return attempt != null && attempt.end() ? attempt : null;
    }

    /** Ends a call and drops its open attempts. */
    void finish(CallState call, DecisionSink sink) {
        call.enterPhase(CallPhase.FINISHED);
        deadlines.remove(call);
        calls.remove(call.identifier());
        dropAttemptsExcept(call, null, sink);
    }

    /**
     * Drops the open attempts of a call.
     *
     * @param kept the attempt that continues, {@code null} to drop all
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
     * Removes the call with the earliest deadline from the order of deadlines and returns it, or returns {@code null}
     * if that deadline has not passed. The call itself stays open.
     */
    CallState pollExpired(long now) {
        if (deadlines.isEmpty() || deadlines.first().terms().deadline() - now > 0) {
            return null;
        }
        return deadlines.pollFirst();
    }

    /** Limits the delivery of an answer that goes on beyond the deadline of its call. */
    void limitDelivery(CallState call, long until) {
        overdueDeliveries.add(new OverdueDelivery(call, until));
    }

    /** Removes and returns a call whose delivery has lasted too long, or returns {@code null} if there is none. */
    CallState pollOverdueDelivery(long now) {
        while (!overdueDeliveries.isEmpty()
                && (overdueDeliveries.peek().until() - now <= 0
                        || overdueDeliveries.peek().call().phase() == CallPhase.FINISHED)) {
            CallState call = overdueDeliveries.poll().call();
            if (call.phase() != CallPhase.FINISHED) {
                return call;
            }
        }
        return null;
    }

    /**
     * A call whose answer is delivered beyond its deadline.
     *
     * @param call the call
     * @param until the time at which the delivery has to end, in nanoseconds
     */
    private record OverdueDelivery(CallState call, long until) {}

    /** Returns the number of calls without a final answer. */
    int size() {
        return calls.size();
    }
}
