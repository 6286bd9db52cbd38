package org.chivecourse.protocol.http;

import java.nio.charset.StandardCharsets;
import org.chivecourse.configuration.model.Method;

/** A number that copies of a request share and other requests hardly ever do: FNV-1a with 64 bits. */
public final class Fingerprint {

    /** The start of FNV-1a. */
    private static final long OFFSET = 0xcbf29ce484222325L;

    /** The factor of FNV-1a. */
    private static final long PRIME = 0x100000001b3L;

    /** Not to be constructed. */
    private Fingerprint() {}

    /**
     * Returns the fingerprint of a request.
     *
     * @param method the method
     * @param target the path and query
     * @param key the idempotency key, empty if there is none
     * @param body the body, {@code null} if it is streamed
     * @return the fingerprint
     */
    public static long of(Method method, String target, String key, byte[] body) {
        long hash = add(OFFSET, method.name().getBytes(StandardCharsets.US_ASCII));
        hash = add(hash, target.getBytes(StandardCharsets.UTF_8));
        hash = add(hash, key.getBytes(StandardCharsets.UTF_8));
        return body == null ? hash : add(hash, body);
    }

    /**
     * Adds octets and their number to a hash.
     *
     * @param start the hash so far
     * @param octets the octets
     * @return the hash
     */
    private static long add(long start, byte[] octets) {
        long hash = start;
        for (byte octet : octets) {
            hash = (hash ^ (octet & 0xff)) * PRIME;
        }
        return (hash ^ octets.length) * PRIME;
    }
}
