package org.chivecourse.state.server;

/** How a host learnt that a backend server is leaving. */
public enum LeavingCause {
    /** The backend server is not leaving. */
    NONE,

    /** The configuration says so. */
    CONFIGURATION,

    /** The backend server's health endpoint says so. */
    HEALTH,

    /** An answer of the backend server carried the header field. */
    HEADER,

    /** The backend server refused a request because it leaves. */
    REFUSAL,

    /** Another gateway said so. */
    PEER
}
