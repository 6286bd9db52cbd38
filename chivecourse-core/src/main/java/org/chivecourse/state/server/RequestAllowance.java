package org.chivecourse.state.server;

/**
 * What a host knows of the request limit of a backend server.
 *
 * <p>Times are in nanoseconds of the host's monotonic clock.
 */
public final class RequestAllowance {

    /** The limit that the backend server stated last. */
    private RequestLimit limit = RequestLimit.NONE;

    /** The time of that statement. */
    private long statedAt = Long.MIN_VALUE / 2;

    /**
     * Records what the backend server stated. A statement that is older than the last one is ignored.
     *
     * @param stated the limit
     * @param at the time of the statement
     * @return the limit that was known before, {@code null} if it has not changed
     */
    public RequestLimit recordStatement(RequestLimit stated, long at) {
        if (at - statedAt < 0) {
            return null;
        }
        statedAt = at;
        RequestLimit previous = limit;
        limit = stated;
        return previous.equals(stated) ? null : previous;
    }

    /** Returns the limit that the backend server stated last. */
    public RequestLimit limit() {
        return limit;
    }
}
