package org.chivecourse.state.server;

/**
 * The slots of a backend server that this host reserves for other hosts. Times are in nanoseconds of the host's
 * monotonic clock.
 */
public final class ServerReservations {

    /** The time within which a reserved slot is used, in nanoseconds. */
    private static final long USE_NANOSECONDS = 100_000_000L;

    /** The times of the grants, the oldest first. */
    private final SortedLongList grantedAt = new SortedLongList();

    /** Records that a slot is reserved. */
    public void begin(long now) {
        grantedAt.add(now);
    }

    /**
     * Records the end of a reservation.
     *
     * @param time the time that was passed to {@link #begin} for it
     */
    public void end(long time) {
        grantedAt.remove(time);
    }

    /** Returns the number of reserved slots. */
    int size() {
        return grantedAt.size();
    }

    /**
     * Applies a load report. Of the reservations that were made long before it, those that it does not count have been
     * used, and end.
     *
     * @param inFlight the number of requests that the backend server reported
     * @param reportedAt the time of the report
     * @return the number of reservations that the report counts
     */
    int settle(int inFlight, long reportedAt) {
        int used = grantedAt.countUpTo(reportedAt - USE_NANOSECONDS) - inFlight;
        grantedAt.removeFirst(Math.max(0, used));
        return grantedAt.countUpTo(reportedAt);
    }
}
