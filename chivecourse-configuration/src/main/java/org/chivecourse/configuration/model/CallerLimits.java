package org.chivecourse.configuration.model;

import java.time.Duration;

/**
 * The limits for the size of callers' requests and for the time that callers may take.
 *
 * @param largestHeaderBytes the maximum size of a request's header, in bytes
 * @param largestBodyBytes the maximum size of a request's body, in bytes
 * @param headerTimeout the maximum time from the first byte of a header to its last
 * @param idleTimeout the maximum time for which a connection stays open between two requests
 */
public record CallerLimits(
        int largestHeaderBytes, long largestBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** The limits of a configuration that sets none: only the limits in the gateway's settings apply. */
    public static final CallerLimits UNBOUNDED =
            new CallerLimits(Integer.MAX_VALUE, Long.MAX_VALUE, Duration.ofHours(1), Duration.ofHours(1));
}
