package org.chivecourse.state.server;

/**
 * The rest that a backend server asked this host for, and how requests resume after it: one at a time until the backend
 * server has taken one, so that it is not overrun by those that waited for it.
 *
 * <p>Times are in nanoseconds of the host's monotonic clock.
 */
public final class ServerRest {

    /** The time at which the rest ends; a time in the distant past if there was none. */
    private long until = Long.MIN_VALUE / 2;

    /** Whether the backend server has not taken a request since it asked for rest. */
    private boolean resuming;

    /**
     * Records that the backend server asked for rest. A rest that ends later stays in force.
     *
     * @param requestedUntil the time at which the requested rest ends
     * @return {@code true} if the backend server did not rest before
     */
    public boolean request(long requestedUntil, long now) {
        boolean restedBefore = active(now);
        until = Math.max(until, requestedUntil);
        resuming = true;
        return !restedBefore;
    }

    /** Records that the backend server took a request. */
    public void recordAcceptance() {
        resuming = false;
    }

    /** Returns whether the backend server rests, so that it gets no requests of this host. */
    public boolean active(long now) {
        return now - until < 0;
    }

    /**
     * Returns whether the backend server may get a request of this host.
     *
     * @param ownInFlight the number of requests of this host that it has
     */
    public boolean permits(int ownInFlight, long now) {
        return !active(now) && (!resuming || ownInFlight == 0);
    }

    /** Returns whether the backend server has asked for rest and has not taken a request since. */
    public boolean requested() {
        return resuming;
    }

    /** Returns the time at which the rest ends. */
    public long until() {
        return until;
    }

    /** Adopts the rest that the same process of the backend server asked for earlier. */
    void adopt(ServerRest earlier) {
        until = Math.max(until, earlier.until);
        resuming |= earlier.resuming;
    }
}
