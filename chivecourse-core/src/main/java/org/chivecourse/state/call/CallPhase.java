package org.chivecourse.state.call;

/** The phases of a call. */
public enum CallPhase {
    /** Other hosts are asked whether they know the key of the call. */
    ASKING,

    /** The call waits for a backend server. */
    WAITING,

    /** At least one attempt is under way and none has been answered. */
    ATTEMPTING,

    /** The answer of one attempt is being passed to the caller. */
    DELIVERING,

    /** The caller has its answer or is gone. */
    FINISHED
}
