package org.chivecourse.state.key;

/** The state of an idempotency key's request on a host. */
public enum KeyState {
    /** This host is querying the others about the key. */
    ASKING,

    /** The request is queued or running here. */
    HELD,

    /** The request was answered here. */
    ANSWERED,

    /** The request may have run here. */
    UNKNOWN
}
