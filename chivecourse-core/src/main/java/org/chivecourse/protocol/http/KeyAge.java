package org.chivecourse.protocol.http;

import java.util.UUID;
import java.util.concurrent.TimeUnit;

/** The age of idempotency keys that tell when they were made: UUIDs of version 7, see RFC 9562. */
public final class KeyAge {

    /** The version of UUIDs that start with a time. */
    private static final int TIME_ORDERED = 7;

    /** The number of bits of a UUID's upper half below the time. */
    private static final int BELOW_TIME = 16;

    /** The length of a UUID's text. */
    private static final int LENGTH = 36;

    /** Not to be constructed. */
    private KeyAge() {}

    /**
     * Returns the age of a key.
     *
     * @param key the key
     * @param nowMilliseconds the time since the epoch, in milliseconds
     * @return the age in nanoseconds, negative if the key does not tell it or lies in the future
     */
    public static long nanoseconds(String key, long nowMilliseconds) {
        if (key.length() != LENGTH) {
            return -1;
        }
        try {
            UUID identifier = UUID.fromString(key);
            long made = identifier.getMostSignificantBits() >>> BELOW_TIME;
            boolean told = identifier.version() == TIME_ORDERED && made <= nowMilliseconds;
            return told ? TimeUnit.MILLISECONDS.toNanos(nowMilliseconds - made) : -1;
        } catch (IllegalArgumentException exception) {
            return -1;
        }
    }
}
