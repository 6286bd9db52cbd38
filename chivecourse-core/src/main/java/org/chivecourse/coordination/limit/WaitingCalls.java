package org.chivecourse.coordination.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.chivecourse.state.call.CallState;

/**
 * The bounded queue of a service's calls that wait for a backend server.
 *
 * <p>Calls that can still be answered within their target latency go first, by rank and then by the end of that
 * latency. The others follow, by rank and deadline.
 */
public final class WaitingCalls {

    /** The calls that can still be answered within their target latency. */
    private final TreeSet<CallState> timely = new TreeSet<>(CallState.BY_RANK_THEN_TARGET);

    /** The calls that can no longer be answered within their target latency. */
    private final TreeSet<CallState> overdue = new TreeSet<>(CallState.BY_RANK_THEN_DEADLINE);

    /** The maximum number of waiting calls. */
    private int limit;

    /**
     * Creates an empty queue.
     *
     * @param limit the maximum number of waiting calls
     */
    public WaitingCalls(int limit) {
        this.limit = limit;
    }

    /** Changes the maximum number of waiting calls. Calls beyond a lower limit stay in the queue. */
    public void changeLimit(int count) {
        limit = count;
    }

    /** Adds a call and returns {@code true}, or returns {@code false} if the queue is full. */
    public boolean offer(CallState call) {
        return !full() && timely.add(call);
    }

    /**
     * Moves the calls that miss their target latency behind the others.
     *
     * @param missed whether a call misses its target latency
     */
    public void demote(Predicate<CallState> missed) {
        if (timely.isEmpty()) {
            return;
        }
        List<CallState> demoted = new ArrayList<>();
        for (CallState call : timely) {
            if (missed.test(call)) {
                demoted.add(call);
            }
        }
        timely.removeAll(demoted);
        overdue.addAll(demoted);
    }

    /** Returns whether the queue has reached its limit. */
    public boolean full() {
        return size() >= limit;
    }

    /** Returns whether a new call would go ahead of all timely calls that wait. */
    public boolean wouldBeFirst(CallState call) {
        return timely.isEmpty() || CallState.BY_RANK_THEN_TARGET.compare(call, timely.first()) < 0;
    }

    /** Returns the number of timely calls that would go ahead of a new one. */
    public int countAhead(CallState call) {
        return timely.isEmpty() ? 0 : timely.headSet(call).size();
    }

    /**
     * Removes and returns the last call if it is overdue or less urgent by rank than a new one; returns {@code null}
     * otherwise.
     */
    public CallState displaceFor(CallState call) {
        if (!overdue.isEmpty()) {
            return overdue.pollLast();
        }
        if (timely.isEmpty() || timely.last().terms().rank() <= call.terms().rank()) {
            return null;
        }
        return timely.pollLast();
    }

    /**
     * Returns the first overdue call, or else the first timely one, that meets a condition, without removing it; {@code
     * null} if there is none.
     */
    public CallState findFirst(Predicate<CallState> condition) {
        for (CallState call : overdue) {
            if (condition.test(call)) {
                return call;
            }
        }
        for (CallState call : timely) {
            if (condition.test(call)) {
                return call;
            }
        }
        return null;
    }

    /** Returns the calls in the order in which they go. */
    public List<CallState> inOrder() {
        List<CallState> calls = new ArrayList<>(timely);
        calls.addAll(overdue);
        return calls;
    }

    /** Removes and returns the first call, or returns {@code null} if none waits. */
    public CallState poll() {
        CallState first = timely.pollFirst();
        return first == null ? overdue.pollFirst() : first;
    }

    /** Removes a call if it waits. */
    public void remove(CallState call) {
        if (!timely.remove(call)) {
            overdue.remove(call);
        }
    }

    /** Returns the number of waiting calls. */
    public int size() {
        return timely.size() + overdue.size();
    }
}
