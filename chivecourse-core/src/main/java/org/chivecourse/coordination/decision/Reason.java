package org.chivecourse.coordination.decision;

/** Why a gateway gave up on a request. */
public enum Reason {
    /** The request is malformed or can be read in two ways. */
    BAD_REQUEST(400, "the request is malformed or can be read in two ways"),

    /** The method of the request is not supported. */
    METHOD_UNSUPPORTED(501, "the method of the request is not supported"),

    /** The request's body is too large. */
    BODY_TOO_LARGE(413, "the request's body is too large"),

    /** No service has the path. */
    NO_SERVICE(404, "no service of this path"),

    /** No configuration is in force yet. */
    NO_CONFIGURATION(503, "no configuration is in force yet"),

    /** The gateway is stopping and takes no further requests. */
    STOPPING(503, "the gateway is stopping"),

    /** No backend server of the service takes requests. */
    NO_SERVER(503, "no backend server of the service takes requests"),

    /** As many requests wait as may wait. */
    QUEUE_FULL(503, "too many requests wait for the service"),

    /** The request keeps coinciding with crashes of backend servers. */
    CONVICTED(503, "the request keeps coinciding with crashes of backend servers"),

    /** A copy of the request was answered before. */
    ANSWERED_BEFORE(409, "a copy of the request was answered before"),

    /** A copy of the request is under way or may have run. */
    COPY_HELD(409, "a copy of the request is under way or may have run"),

    /** Whether a copy of the request ran on another host cannot be found out now. */
    COPY_NOT_KNOWN(503, "whether a copy of the request ran on another host cannot be found out now"),

    /** The key of the request is older than hosts remember. */
    KEY_TOO_OLD(422, "the key of the request is older than hosts remember"),

    /** The deadline would pass before a backend server is free. */
    DEADLINE_UNREACHABLE(503, "the deadline would pass before a backend server is free"),

    /** The deadline passed. */
    DEADLINE_PASSED(504, "the deadline passed"),

    /** No connection to a backend server could be used. */
    NO_CONNECTION(503, "no connection to a backend server could be used"),

    /** The backend server refused the request. */
    REFUSED(503, "the backend server refused the request"),

    /** The connection to the backend server broke before the answer. */
    CONNECTION_BROKEN(502, "the connection to the backend server broke before the answer");

    /** The status code of answers that promise that nothing ran. */
    private static final int NOT_RUN_STATUS = 503;

    /** The status code of the answer. */
    private final int status;

    /** The text of the answer. */
    private final String text;

    /**
     * Creates a reason.
     *
     * @param status the status code of the answer
     * @param text the text of the answer
     */
    Reason(int status, String text) {
        this.status = status;
        this.text = text;
    }

    /**
     * Returns the status code of the answer.
     *
     * @return the status code
     */
    public int status() {
        return status;
    }

    /**
     * Returns the reason whose status agrees with an outcome: one that promises that nothing ran only if nothing did,
     * and one that leaves it open only if it is open.
     *
     * @param outcome what is known of the request
     * @return this reason or its counterpart
     */
    public Reason consistentWith(Outcome outcome) {
        if (outcome == Outcome.UNKNOWN && status == NOT_RUN_STATUS && this != COPY_NOT_KNOWN) {
            return this == REFUSED || this == NO_CONNECTION ? CONNECTION_BROKEN : DEADLINE_PASSED;
        }
        return outcome == Outcome.NOT_RUN && this == DEADLINE_PASSED ? DEADLINE_UNREACHABLE : this;
    }

    /**
     * Returns the text of the answer.
     *
     * @return the text
     */
    public String text() {
        return text;
    }
}
