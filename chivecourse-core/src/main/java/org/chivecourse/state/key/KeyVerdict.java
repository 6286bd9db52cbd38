package org.chivecourse.state.key;

/** What a host answers when another one asks for a key. */
public enum KeyVerdict {
    /** The host does not hold the key and gives way to whoever asks. */
    FREE,

    /** The host holds the key, so nobody else may run its request. */
    HELD,

    /** The host started after the key may have been used, so it does not know. */
    NOT_KNOWN
}
