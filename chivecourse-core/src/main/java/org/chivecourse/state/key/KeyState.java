package org.chivecourse.state.key;

/** What a host knows of the request of a key. */
public enum KeyState {
    /** This host asks the others whether they know the key. */
    ASKING,

    /** The request waits or runs here. */
    HELD,

    /** The request was answered here. */
    ANSWERED,

    /** The request may have run here. */
    UNKNOWN
}
