package org.chivecourse.state.key;

/** Whether a host holds an idempotency key, in its reply to a query. */
public enum KeyVerdict {
    /** The host does not hold the key and yields it to the querying host. */
    FREE,

    /** The host holds the key, so no other host may run its request. */
    HELD,

    /**
     * The host started after the key may have been used, so it does not know whether an earlier incarnation held the
     * key.
     */
    NOT_KNOWN
}
