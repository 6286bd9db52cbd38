package org.chivecourse.coordination.event;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.chivecourse.configuration.model.Method;

/**
 * The properties of a request that arrived, as read by the transport.
 *
 * @param method the method
 * @param path the path without its query
 * @param remainingNanoseconds the timeout that the caller set, in nanoseconds, zero if it set none
 * @param depth the number of gateways that the call passed before this one
 * @param replayable whether the request's body can be sent again
 * @param key the idempotency key, empty if the caller sent none
 * @param keyAgeNanoseconds the age of the key, in nanoseconds, negative if it is not known
 * @param fingerprint a hash that duplicates of the request share
 * @param host the host name that the request is addressed to, in lower case and without a port
 * @param forwardedAttempts the number of attempts that another gateway leaves to this one, zero unless it forwarded the
 *     call
 */
public record Arrival(
        Method method,
        String path,
        long remainingNanoseconds,
        int depth,
        boolean replayable,
        String key,
        long keyAgeNanoseconds,
        long fingerprint,
        String host,
        @JsonInclude(JsonInclude.Include.NON_DEFAULT) int forwardedAttempts) {

    /** Creates an arrival. Older traces lack the host, which is then empty. */
    public Arrival {
        host = host == null ? "" : host;
    }

    /**
     * Creates an arrival from a caller.
     *
     * @param method the method
     * @param path the path without its query
     * @param remainingNanoseconds the timeout that the caller set, in nanoseconds, zero if it set none
     * @param depth the number of gateways that the call passed before this one
     * @param replayable whether the request's body can be sent again
     * @param key the idempotency key, empty if the caller sent none
     * @param keyAgeNanoseconds the age of the key, in nanoseconds, negative if it is not known
     * @param fingerprint a hash that duplicates of the request share
     * @param host the host name that the request is addressed to, in lower case and without a port
     */
    public Arrival(
            Method method,
            String path,
            long remainingNanoseconds,
            int depth,
            boolean replayable,
            String key,
            long keyAgeNanoseconds,
            long fingerprint,
            String host) {
        this(method, path, remainingNanoseconds, depth, replayable, key, keyAgeNanoseconds, fingerprint, host, 0);
    }

    /**
     * Creates an arrival with a key of unknown age and without a host name.
     *
     * @param method the method
     * @param path the path without its query
     * @param remainingNanoseconds the timeout that the caller set, in nanoseconds, zero if it set none
     * @param depth the number of gateways that the call passed before this one
     * @param replayable whether the request's body can be sent again
     * @param key the idempotency key, empty if the caller sent none
     * @param fingerprint a hash that duplicates of the request share
     */
    public Arrival(
            Method method,
            String path,
            long remainingNanoseconds,
            int depth,
            boolean replayable,
            String key,
            long fingerprint) {
        this(method, path, remainingNanoseconds, depth, replayable, key, -1, fingerprint, "");
    }

    /**
     * Creates the arrival of a request without a timeout, a key and a body.
     *
     * @param method the method
     * @param path the path without its query
     */
    public Arrival(Method method, String path) {
        this(method, path, 0, 0, true, "", 0);
    }

    /**
     * Returns a copy that another gateway forwarded.
     *
     * @param attempts the number of attempts that it leaves to this gateway
     * @param originalFingerprint the fingerprint that it gave the request, by which copies are recognized everywhere
     * @return the changed copy
     */
    public Arrival forwarded(int attempts, long originalFingerprint) {
        return new Arrival(
                method,
                path,
                remainingNanoseconds,
                depth,
                replayable,
                key,
                keyAgeNanoseconds,
                originalFingerprint,
                host,
                attempts);
    }

    /**
     * Returns a copy that was handled later than it arrived.
     *
     * @param nanoseconds the time since it arrived, in nanoseconds
     * @return the changed copy, whose caller waits for that much less if it set a timeout
     */
    public Arrival delayed(long nanoseconds) {
        long remaining = remainingNanoseconds == 0 ? 0 : Math.max(1, remainingNanoseconds - nanoseconds);
        return new Arrival(
                method,
                path,
                remaining,
                depth,
                replayable,
                key,
                keyAgeNanoseconds,
                fingerprint,
                host,
                forwardedAttempts);
    }
}
