package org.chivecourse.state.server;

/**
 * When this host and others last were in contact with a backend server.
 *
 * <p>Times are in nanoseconds of the host's monotonic clock.
 */
public final class ServerContact {

    /** A time before any other. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** The time of the last answer to this host. */
    private long answeredAt = NEVER;

    /** The time at which this host last failed to reach the backend server. */
    private long failedAt = NEVER;

    /** The time at which this host first failed to reach it since the last answer. */
    private long failingSince = NEVER;

    /** Whether other hosts have not been told of the last failure. */
    private boolean unreportedFailure;

    /** The time of the last load that the backend server reported to another host. */
    private long answeredOthersAt = NEVER;

    /**
     * Records an answer to this host, of any kind.
     *
     * @param now the current time
     */
    public void recordAnswer(long now) {
        answeredAt = now;
        unreportedFailure = false;
    }

    /**
     * Records that this host could not connect to the backend server or got no answer to a probe.
     *
     * @param now the current time
     */
    public void recordFailure(long now) {
        failingSince = failedAt - answeredAt > 0 ? failingSince : now;
        failedAt = now;
        unreportedFailure = true;
    }

    /**
     * Records that the backend server answered another host.
     *
     * @param at the time of the answer
     */
    public void recordAnswerToOthers(long at) {
        answeredOthersAt = Math.max(answeredOthersAt, at);
    }

    /** Records that other hosts are told of the last failure. */
    public void recordReport() {
        unreportedFailure = false;
    }

    /** Returns whether other hosts have not been told of the last failure. */
    public boolean unreportedFailure() {
        return unreportedFailure;
    }

    /** Returns the time of the last answer to this host, a time in the distant past if there was none. */
    public long answeredAt() {
        return answeredAt;
    }

    /** Returns the time at which this host last failed to reach it, a time in the distant past if it never did. */
    public long failedAt() {
        return failedAt;
    }

    /** Returns the time at which this host first failed to reach it since its last answer. */
    public long failingSince() {
        return failingSince;
    }

    /** Returns the time of the last answer to another host, a time in the distant past if there was none. */
    public long answeredOthersAt() {
        return answeredOthersAt;
    }
}
