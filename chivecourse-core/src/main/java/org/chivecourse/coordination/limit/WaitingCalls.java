package org.chivecourse.coordination.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.chivecourse.state.call.CallState;

/**
 * The calls of a service that wait for a backend server.
 *
 * <p>Those that can still be answered within their target latency go first, by rank and among equals by the time at
 * which they need their answer; the others follow, by rank and deadline.
 */
public final class WaitingCalls {

    /** The calls that can be answered within their target latency. */
    private final TreeSet<CallState> timely = new TreeSet<>(CallState.BY_RANK_THEN_TARGET);

    /** The calls that can be answered later than that. */
    private final TreeSet<CallState> overdue = new TreeSet<>(CallState.BY_RANK_THEN_DEADLINE);

    /** The largest number of waiting calls. */
    private int limit;

    /**
     * Creates an empty queue.
     *
     * @param limit the largest number of waiting calls
     */
    public WaitingCalls(int limit) {
        this.limit = limit;
    }

    /**
     * Changes the bound without removing calls.
     *
     * @param count the largest number of waiting calls
     */
    public void changeLimit(int count) {
        limit = count;
    }

    /**
     * Adds a call unless as many wait as may wait.
     *
     * @param call the call
     * @return {@code true} if the call was added
     */
    public boolean offer(CallState call) {
        return !full() && timely.add(call);
    }

    /**
     * Puts the calls behind the others that cannot be answered within their target latency any more.
     *
     * @param missed whether a call cannot
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

    /**
     * Returns whether as many calls wait as may wait.
     *
     * @return {@code true} if none can be added
     */
    public boolean full() {
        return size() >= limit;
    }

    /**
     * Returns whether a call goes before all that wait.
     *
     * @param call the call
     * @return {@code true} if none that waits is to be started first
     */
    public boolean wouldBeFirst(CallState call) {
        return timely.isEmpty() || CallState.BY_RANK_THEN_TARGET.compare(call, timely.first()) < 0;
    }

    /**
     * Returns the number of waiting calls that go before a call.
     *
     * @param call the call
     * @return the number
     */
    public int countAhead(CallState call) {
        return timely.isEmpty() ? 0 : timely.headSet(call).size();
    }

    /**
     * Removes the last call if it is less urgent than another one that needs its place.
     *
     * @param call the other call
     * @return the removed call, or {@code null} if none is less urgent
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
     * Returns the first call that meets a condition.
     *
     * @param condition the condition
     * @return the call, which stays, or {@code null} if there is none
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

    /**
     * Removes the first call.
     *
     * @return the call, or {@code null} if none waits
     */
    public CallState poll() {
        CallState first = timely.pollFirst();
        return first == null ? overdue.pollFirst() : first;
    }

    /**
     * Removes a call.
     *
     * @param call the call
     */
    public void remove(CallState call) {
        if (!timely.remove(call)) {
            overdue.remove(call);
        }
    }

    /**
     * Returns the number of waiting calls.
     *
     * @return the number
     */
    public int size() {
        return timely.size() + overdue.size();
    }
}
