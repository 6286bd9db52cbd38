package org.chivecourse.state.key;

/** A host's answer to a question about an idempotency key. */
public enum KeyVerdict {
    /** The host does not hold the key and yields it to the asking host. */
    FREE,

    /** The host holds the key, so no other host may run its request. */
    HELD,

    /** The host started after the key may have been used, so it cannot tell. */
    NOT_KNOWN
}
