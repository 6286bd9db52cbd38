package org.chivecourse.protocol.http;

import java.nio.charset.StandardCharsets;
import org.chivecourse.configuration.model.Method;

/**
 * Computes fingerprints by which copies of a request are recognized, whoever sends them: 64-bit FNV-1a hashes, which
 * different requests hardly ever share.
 */
public final class Fingerprint {

    /** The offset basis of 64-bit FNV-1a. */
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

    /** The prime of 64-bit FNV-1a. */
    private static final long FNV_PRIME = 0x100000001b3L;

    /** This class has only static methods. */
    private Fingerprint() {}

    /**
     * Returns the fingerprint of a request.
     *
     * @param method the method
     * @param target the path and query
     * @param key the idempotency key with anything else that tells requests apart, empty if there is none
     * @param body the body, {@code null} if it is streamed and therefore not part of the fingerprint
     * @return the fingerprint
     */
    public static long of(Method method, String target, String key, byte[] body) {
        long hash = addOctets(FNV_OFFSET_BASIS, method.name().getBytes(StandardCharsets.US_ASCII));
        hash = addOctets(hash, target.getBytes(StandardCharsets.UTF_8));
        hash = addOctets(hash, key.getBytes(StandardCharsets.UTF_8));
        return body == null ? hash : addOctets(hash, body);
    }

    /**
     * Adds octets to a hash, followed by their number, so that the same octets divided differently into the parts of a
     * request give another hash.
     *
     * @param initialHash the hash of the preceding parts
     * @param octets the octets
     * @return the new hash
     */
    private static long addOctets(long initialHash, byte[] octets) {
        long hash = initialHash;
        for (byte octet : octets) {
            hash = (hash ^ (octet & 0xff)) * FNV_PRIME;
        }
        return (hash ^ octets.length) * FNV_PRIME;
    }
}
