package org.chivecourse.coordination.limit;

import java.util.TreeSet;
import org.chivecourse.state.call.CallState;

/** The calls of a service that wait for a backend server, the nearest deadline first. */
public final class WaitingCalls {

    /** The waiting calls. */
    private final TreeSet<CallState> calls = new TreeSet<>(CallState.BY_DEADLINE);

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
     * Removes the call with the nearest deadline.
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
