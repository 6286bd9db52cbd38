package org.chivecourse.protocol.http;

import java.util.UUID;
import java.util.concurrent.TimeUnit;

/** The age of idempotency keys that tell when they were made: UUIDs of version 7, see RFC 9562. */
public final class KeyAge {

    /** The version of UUIDs that start with a time. */
    private static final int TIME_ORDERED_VERSION = 7;

    /** The number of bits of a UUID's upper half below the time. */
    private static final int BITS_BELOW_TIMESTAMP = 16;

    /** The length of a UUID's text. */
    private static final int UUID_CHARACTERS = 36;

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
        if (key.length() != UUID_CHARACTERS) {
            return -1;
        }
        try {
            UUID identifier = UUID.fromString(key);
            long createdMilliseconds = identifier.getMostSignificantBits() >>> BITS_BELOW_TIMESTAMP;
            boolean ageKnown = identifier.version() == TIME_ORDERED_VERSION && createdMilliseconds <= nowMilliseconds;
            return ageKnown ? TimeUnit.MILLISECONDS.toNanos(nowMilliseconds - createdMilliseconds) : -1;
        } catch (IllegalArgumentException exception) {
            return -1;
        }
    }
}
