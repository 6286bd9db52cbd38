package org.chivecourse.standin.load;

/** How a request ended for its caller. */
public enum Result {
    /** The caller got the whole answer to its own request. */
    ANSWERED,

    /** The caller got an answer to another request, or a shorter one that looked whole. */
    WRONG,

    /** The caller was told that the request was not run. */
    NOT_RUN,

    /** The caller was told that the request may have run. */
    UNKNOWN,

    /** The caller got an error that a backend server made. */
    SERVER_ERROR,

    /** The caller could not connect. */
    NOT_CONNECTED,

    /** The connection was cut, or the answer did not come in time. */
    CUT
}
