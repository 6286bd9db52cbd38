package org.chivecourse.protocol.http;

import java.util.UUID;
import java.util.concurrent.TimeUnit;

/** Reads the age of idempotency keys that contain their time of creation: UUIDs of version 7, see RFC 9562. */
public final class KeyAge {

    /** The version of UUIDs that start with a timestamp. */
    private static final int TIME_ORDERED_VERSION = 7;

    /** The number of bits below the timestamp in the upper half of a UUID. */
    private static final int BITS_BELOW_TIMESTAMP = 16;

    /** The length of a UUID as text. */
    private static final int UUID_CHARACTERS = 36;

    /** This class has only static methods. */
    private KeyAge() {}

    /**
     * Returns the age of a key.
     *
     * @param key the key
     * @param nowMilliseconds the current time in milliseconds since the epoch
     * @return the age in nanoseconds, negative if the key contains no timestamp or one in the future
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
