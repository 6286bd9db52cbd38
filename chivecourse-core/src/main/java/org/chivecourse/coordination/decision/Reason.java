package org.chivecourse.coordination.decision;

import java.util.EnumSet;
import java.util.Set;

/** Why a gateway answers a request with an error that it generates, with the status code and text of that answer. */
public enum Reason {
    /** The request is malformed or ambiguous, that is, could be parsed in two ways. */
    BAD_REQUEST(400, "the request is malformed or can be read in two ways"),

    /** The method of the request is not supported. */
    METHOD_UNSUPPORTED(501, "the method of the request is not supported"),

    /** A request that only gateways may send came from elsewhere. */
    NOT_A_GATEWAY(403, "only gateways of the fleet may forward requests"),

    /** The request's body exceeds the configured limit. */
    BODY_TOO_LARGE(413, "the request's body is too large"),

    /** The large bodies that are being transferred leave no time for the request's on the host's link. */
    LINK_BUSY(503, "large bodies take the gateway's link for longer than the request has"),

    /** The head of the request has more lines than the configured limit. */
    HEAD_TOO_LARGE(431, "the request has too many header lines"),

    /** The head of the request did not end within the configured time. */
    HEAD_TIMEOUT(408, "the head of the request did not arrive in time"),

    /** The heads of requests take so much memory that there is none for this one. */
    HEADS_FULL(503, "the heads of requests take too much memory"),

    /** No service matches the path. */
    NO_SERVICE(404, "no service of this path"),

    /** No configuration is in force yet. */
    NO_CONFIGURATION(503, "no configuration is in force yet"),

    /** No service matches the path, but other gateways have a newer configuration, which may have one. */
    OUTDATED_CONFIGURATION(503, "no service of this path is known, but a newer configuration is being read"),

    /** The gateway is stopping and accepts no further requests, or cannot have this one answered before. */
    STOPPING(503, "the gateway is stopping"),

    /** The gateway stopped before a backend server answered the request, which may have run. */
    STOPPED_BEFORE_ANSWER(504, "the gateway had to stop before a backend server answered"),

    /** No backend server of the service accepts requests. */
    NO_SERVER(503, "no backend server of the service takes requests"),

    /** The queue of the service is full. */
    QUEUE_FULL(503, "too many requests wait for the service"),

    /** No backend server has room, and the request's target latency cannot be met any more. */
    NO_ROOM(503, "no backend server had room for the request in time"),

    /** The request is blocked because it repeatedly coincided with crashes of backend servers. */
    CONVICTED(503, "the request keeps coinciding with crashes of backend servers"),

    /** Backend servers ended under the request, and another copy of it is tried, or has no result yet. */
    SUSPECTED(503, "backend servers ended under the request, and another copy of it is being tried"),

    /** A duplicate of the request was answered before. */
    ANSWERED_BEFORE(409, "a copy of the request was answered before"),

    /** A duplicate of the request is in progress or may have run. */
    COPY_HELD(409, "a copy of the request is under way or may have run"),

    /**
     * Another host may have run a duplicate of the request, and this gateway cannot determine at the moment whether it
     * did.
     */
    COPY_NOT_KNOWN(503, "whether a copy of the request ran on another host cannot be found out now"),

    /** The idempotency key is older than the time for which hosts remember keys. */
    KEY_TOO_OLD(422, "the key of the request is older than hosts remember"),

    /** The deadline would pass, or has passed, before the request can be sent to a backend server. */
    DEADLINE_UNREACHABLE(503, "the deadline would pass before a backend server is free"),

    /** The deadline passed before an answer arrived. */
    DEADLINE_PASSED(504, "the deadline passed"),

    /** No connection to a backend server could be established. */
    NO_CONNECTION(503, "no connection to a backend server could be used"),

    /** The backend server refused the request with its service's refusal signal. */
    REFUSED(503, "the backend server refused the request"),

    /** All backend servers that could take the request have reached the request limit that they state. */
    LIMITED(503, "the backend servers take no more requests now"),

    /** All backend servers that could take the request have asked for rest. */
    RESTING(503, "the backend servers asked for rest"),

    /** All backend servers that could take the request are in data centres that the operator has evacuated. */
    EVACUATED(503, "the data centres of the service's backend servers take no requests now"),

    /** The connection to the backend server broke before the answer. */
    CONNECTION_BROKEN(502, "the connection to the backend server broke before the answer");

    /** The status code that implies that the request did not run, for all reasons but {@link #COPY_NOT_KNOWN}. */
    private static final int NOT_RUN_STATUS = 503;

    /** The reasons for which a request that may have run ended with its connection. */
    private static final Set<Reason> CONNECTION_REASONS =
            EnumSet.of(REFUSED, NO_CONNECTION, CONVICTED, SUSPECTED, EVACUATED);

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

    /** Returns the status code of the answer. */
    public int status() {
        return status;
    }

    /**
     * Returns the reason whose status code is consistent with an outcome. A reason that guarantees that the request did
     * not run is replaced if the request may have run, and a passed deadline is replaced if the request certainly did
     * not run.
     *
     * @param outcome what is known about the request
     * @return this reason, or the one to report instead
     */
    public Reason consistentWith(Outcome outcome) {
        if (outcome == Outcome.UNKNOWN && this == STOPPING) {
            return STOPPED_BEFORE_ANSWER;
        }
        if (outcome == Outcome.UNKNOWN && status == NOT_RUN_STATUS && this != COPY_NOT_KNOWN) {
            return CONNECTION_REASONS.contains(this) ? CONNECTION_BROKEN : DEADLINE_PASSED;
        }
        return outcome == Outcome.NOT_RUN && this == DEADLINE_PASSED ? DEADLINE_UNREACHABLE : this;
    }

    /** Returns the text of the answer. */
    public String text() {
        return text;
    }
}
