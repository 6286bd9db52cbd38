package org.chivecourse.coordination.limit;

import java.util.TreeSet;
import java.util.function.Predicate;
import org.chivecourse.state.call.CallState;

/** The calls of a service that wait for a backend server, by rank and among equals by deadline. */
public final class WaitingCalls {

    /** The waiting calls. */
    private final TreeSet<CallState> calls = new TreeSet<>(CallState.BY_RANK);

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
    public void limit(int count) {
        limit = count;
    }

    /**
     * Adds a call unless as many wait as may wait.
     *
     * @param call the call
     * @return {@code true} if the call was added
     */
    public boolean offer(CallState call) {
        if (calls.size() >= limit) {
            return false;
        }
        return calls.add(call);
    }

    /**
     * Returns whether as many calls wait as may wait.
     *
     * @return {@code true} if none can be added
     */
    public boolean full() {
        return calls.size() >= limit;
    }

    /**
     * Returns whether a call goes before all that wait.
     *
     * @param call the call
     * @return {@code true} if none that waits is to be started first
     */
    public boolean goesFirst(CallState call) {
        return calls.isEmpty() || CallState.BY_RANK.compare(call, calls.first()) < 0;
    }

    /**
     * Returns the number of waiting calls that go before a call.
     *
     * @param call the call
     * @return the number
     */
    public int ahead(CallState call) {
        return calls.isEmpty() ? 0 : calls.headSet(call).size();
    }

    /**
     * Removes the last call if it is less urgent than another one that needs its place.
     *
     * @param call the other call
     * @return the removed call, or {@code null} if none is less urgent
     */
    public CallState displaceFor(CallState call) {
        if (calls.isEmpty() || calls.last().terms().rank() <= call.terms().rank()) {
            return null;
        }
        return calls.pollLast();
    }

    /**
     * Returns the first call that meets a condition.
     *
     * @param late the condition
     * @return the call, which stays, or {@code null} if there is none
     */
    public CallState firstLate(Predicate<CallState> late) {
        for (CallState call : calls) {
            if (late.test(call)) {
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
        return calls.pollFirst();
    }

    /**
     * Removes a call.
     *
     * @param call the call
     */
    public void remove(CallState call) {
        calls.remove(call);
    }

    /**
     * Returns the number of waiting calls.
     *
     * @return the number
     */
    public int size() {
        return calls.size();
    }
}
