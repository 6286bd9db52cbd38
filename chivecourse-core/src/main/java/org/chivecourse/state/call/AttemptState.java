package org.chivecourse.state.call;

import org.chivecourse.state.server.ServerState;

/** An attempt to get a call answered by a backend server. */
public final class AttemptState {

    /** The identifier of the attempt, unique on the host. */
    private final long identifier;

    /** The call. */
    private final CallState call;

    /** The backend server. */
    private final ServerState server;

    /** The estimated number of requests in flight at the backend server at the start, including this one. */
    private final double inFlight;

    /** The time of the start, in nanoseconds. */
    private final long startedAt;

    /** What is known about the attempt's effect. */
    private Evidence evidence = Evidence.NOT_SENT;

    /** Whether the backend server has answered, even if only with an error or a refusal. */
    private boolean answered;

    /** Whether the call is forwarded to another gateway instead of being sent to a backend server. */
    private boolean forwarded;

    /** Whether the attempt holds a permit of a backend server with a request limit. */
    private boolean holdsPermit;

    /** Whether it holds a permit of a cold backend server. */
    private boolean holdsWarmUpPermit;

    /** Whether this host decided not to send the request, although the backend server could be reached. */
    private boolean withdrawn;

    /** Whether the attempt has ended. */
    private boolean ended;

    /** The time at which the request was passed to a connection, in nanoseconds, zero before. */
    private long sentAt;

    /**
     * Creates an attempt of which nothing has been sent, and counts it as in flight at the backend server.
     *
     * @param identifier the identifier of the attempt
     * @param call the call
     * @param server the backend server
     * @param inFlight the estimated number of requests in flight at the backend server, including this one
     * @param startedAt the time of the start, in nanoseconds
     */
    public AttemptState(long identifier, CallState call, ServerState server, double inFlight, long startedAt) {
        this.identifier = identifier;
        this.call = call;
        this.server = server;
        this.inFlight = inFlight;
        this.startedAt = startedAt;
        server.beginRequest(startedAt);
    }

    /**
     * Records that the request is about to be written to a connection. From now on it may have run.
     *
     * @param now the current time in nanoseconds
     */
    public void recordSending(long now) {
        evidence = Evidence.MAY_HAVE_RUN;
        sentAt = now;
    }

    /** Records that the backend server has answered, even if only with an error or a refusal. */
    public void recordAnswer() {
        answered = true;
    }

    /** Returns whether the backend server has answered, even if only with an error or a refusal. */
    public boolean answered() {
        return answered;
    }

    /** Records that this host decided not to send the request, although the backend server could be reached. */
    public void recordWithdrawal() {
        withdrawn = true;
    }

    /** Returns whether this host decided not to send the request, although the backend server could be reached. */
    public boolean withdrawn() {
        return withdrawn;
    }

    /** Records that the backend server refused the request, which proves that it did not run. */
    public void recordRefusal() {
        evidence = Evidence.REFUSED;
    }

    /**
     * Ends the attempt and stops counting it as in flight; has no effect if it has ended before. The permit of a
     * request that was not sent is returned.
     *
     * @return {@code true} if it had not ended before
     */
    public boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        server.endRequest(startedAt);
        if (holdsPermit && sentAt == 0) {
            server.allowance().giveBack();
        }
        if (holdsWarmUpPermit && sentAt == 0) {
            server.warmUp().giveBack();
        }
        return true;
    }

    /** Returns the identifier, unique on the host. */
    public long identifier() {
        return identifier;
    }

    /** Returns the call. */
    public CallState call() {
        return call;
    }

    /** Returns the backend server. */
    public ServerState server() {
        return server;
    }

    /** Returns the estimated number of requests in flight at the backend server at the start, including this one. */
    public double inFlight() {
        return inFlight;
    }

    /** Returns what is known about the attempt's effect. */
    public Evidence evidence() {
        return evidence;
    }

    /** Records that the call is forwarded to another gateway instead of being sent to a backend server. */
    public void recordForwarding() {
        forwarded = true;
    }

    /** Returns whether the call is forwarded to another gateway instead of being sent to a backend server. */
    public boolean forwarded() {
        return forwarded;
    }

    /** Records that the attempt holds a permit of a backend server with a request limit. */
    public void recordPermit() {
        holdsPermit = true;
    }

    /** Returns whether the attempt holds a permit of a backend server with a request limit. */
    public boolean holdsPermit() {
        return holdsPermit;
    }

    /** Records that the attempt holds a permit of a cold backend server. */
    public void recordWarmUpPermit() {
        holdsWarmUpPermit = true;
    }

    /** Returns whether the attempt holds a permit of a cold backend server. */
    public boolean holdsWarmUpPermit() {
        return holdsWarmUpPermit;
    }

    /** Returns whether the attempt has ended, so that further events of its connection are ignored. */
    public boolean ended() {
        return ended;
    }

    /** Returns the time at which the request was passed to a connection, in nanoseconds, zero before. */
    public long sentAt() {
        return sentAt;
    }
}
