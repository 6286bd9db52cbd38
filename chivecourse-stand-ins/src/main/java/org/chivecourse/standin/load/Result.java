package org.chivecourse.standin.load;

/** Enumerates how a request can end for its caller. */
public enum Result {
    /** The caller received the complete answer to its own request. */
    ANSWERED,

    /** The caller received the answer to another request, or a truncated answer that was framed as complete. */
    WRONG,

    /** The gateway reported that the request was not run. */
    NOT_RUN,

    /** The gateway reported that the request may have been run. */
    UNKNOWN,

    /** The caller received a server error that a backend server produced. */
    SERVER_ERROR,

    /** The caller could not connect, or no target was ready. */
    NOT_CONNECTED,

    /** The connection was closed before the end of the answer, or the answer timed out. */
    CUT
}
