package org.chivecourse.protocol.http;

import java.nio.charset.StandardCharsets;
import org.chivecourse.configuration.model.Method;

/** A number that copies of a request share and other requests hardly ever do: FNV-1a with 64 bits. */
public final class Fingerprint {

    /** The start of FNV-1a. */
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

    /** The factor of FNV-1a. */
    private static final long FNV_PRIME = 0x100000001b3L;

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
        long hash = addOctets(FNV_OFFSET_BASIS, method.name().getBytes(StandardCharsets.US_ASCII));
        hash = addOctets(hash, target.getBytes(StandardCharsets.UTF_8));
        hash = addOctets(hash, key.getBytes(StandardCharsets.UTF_8));
        return body == null ? hash : addOctets(hash, body);
    }

    /**
     * Adds octets and their number to a hash.
     *
     * @param initialHash the hash so far
     * @param octets the octets
     * @return the hash
     */
    private static long addOctets(long initialHash, byte[] octets) {
        long hash = initialHash;
        for (byte octet : octets) {
            hash = (hash ^ (octet & 0xff)) * FNV_PRIME;
        }
        return (hash ^ octets.length) * FNV_PRIME;
    }
}
