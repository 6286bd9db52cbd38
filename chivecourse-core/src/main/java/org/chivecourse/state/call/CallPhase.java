package org.chivecourse.state.call;

/** The phases of a call. */
public enum CallPhase {
    /** Other hosts are being queried about the call's idempotency key. */
    ASKING,

    /** The call is queued for a backend server. */
    WAITING,

    /** At least one attempt is in progress and none has been answered. */
    ATTEMPTING,

    /** The answer of an attempt is being forwarded to the caller. */
    DELIVERING,

    /** The caller has received its answer or has disconnected. */
    FINISHED
}
