package org.chivecourse.state.call;

import org.chivecourse.state.server.ServerState;

/** One sending of a call to a backend server. */
public final class AttemptState {

    /** The identifier of the attempt, unique on the host. */
    private final long identifier;

    /** The call. */
    private final CallState call;

    /** The backend server. */
    private final ServerState server;

    /** The estimated number of requests in flight at the backend server at the start, this one included. */
    private final double inFlight;

    /** The time of the start in nanoseconds. */
    private final long startedAt;

    /** What is known of the attempt's effect. */
    private Evidence evidence = Evidence.NOT_SENT;

    /** Whether the attempt has ended. */
    private boolean ended;

    /** The time at which bytes were first handed to a connection, in nanoseconds. */
    private long sentAt;

    /**
     * Creates an attempt of which nothing was sent.
     *
     * @param identifier the identifier of the attempt
     * @param call the call
     * @param server the backend server
     * @param inFlight the estimated number of requests in flight at the backend server, this one included
     * @param startedAt the time of the start in nanoseconds
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
     * Records that bytes are about to be handed to a connection.
     *
     * @param now the time in nanoseconds
     */
    public void recordSending(long now) {
        evidence = Evidence.MAY_HAVE_RUN;
        sentAt = now;
    }

    /**
     * Records that the backend server refused the request.
     */
    public void recordRefusal() {
        evidence = Evidence.REFUSED;
    }

    /**
     * Records the end of the attempt.
     *
     * @return {@code true} if it had not ended before
     */
    public boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        server.endRequest(startedAt);
        return true;
    }

    /**
     * Returns the identifier.
     *
     * @return the identifier, unique on the host
     */
    public long identifier() {
        return identifier;
    }

    /**
     * Returns the call.
     *
     * @return the call
     */
    public CallState call() {
        return call;
    }

    /**
     * Returns the backend server.
     *
     * @return the backend server
     */
    public ServerState server() {
        return server;
    }

    /**
     * Returns the estimated number of requests in flight at the backend server at the start.
     *
     * @return the number of requests, this one included
     */
    public double inFlight() {
        return inFlight;
    }

    /**
     * Returns what is known of the attempt's effect.
     *
     * @return the evidence
     */
    public Evidence evidence() {
        return evidence;
    }

    /**
     * Returns whether the attempt has ended.
     *
     * @return {@code true} if its connection is no longer of interest
     */
    public boolean ended() {
        return ended;
    }

    /**
     * Returns the time at which bytes were first handed to a connection.
     *
     * @return the time in nanoseconds
     */
    public long sentAt() {
        return sentAt;
    }
}
