package org.chivecourse.coordination.event;

import org.chivecourse.configuration.model.Method;

/**
 * What the transport tells of a request that arrived.
 *
 * @param method the method
 * @param path the path without its query
 * @param remainingNanoseconds the time that the caller gives the request, zero if it names none
 * @param depth the number of gateways that the call passed before this one
 * @param replayable whether the request's body can be sent again
 * @param key the idempotency key, empty if the caller gave none
 * @param keyAgeNanoseconds the age of the key, negative if it is not known
 * @param fingerprint a number that copies of the request share
 * @param host the host name that the request is addressed to, in lower case and without a port
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
        String host) {

    /**
     * Creates an arrival; those of older traces name no host.
     */
    public Arrival {
        host = host == null ? "" : host;
    }

    /**
     * Creates an arrival with a key of unknown age.
     *
     * @param method the method
     * @param path the path without its query
     * @param remainingNanoseconds the time that the caller gives the request, zero if it names none
     * @param depth the number of gateways that the call passed before this one
     * @param replayable whether the request's body can be sent again
     * @param key the idempotency key, empty if the caller gave none
     * @param fingerprint a number that copies of the request share
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
     * Creates an arrival without a deadline, a key and a body.
     *
     * @param method the method
     * @param path the path without its query
     */
    public Arrival(Method method, String path) {
        this(method, path, 0, 0, true, "", 0);
    }
}
