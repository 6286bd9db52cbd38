package org.chivecourse.configuration.model;

import java.time.Duration;

/**
 * The bounds on what callers may send and on the time they may take.
 *
 * @param largestHeaderBytes the largest size of a request's header, in bytes
 * @param largestBodyBytes the largest size of a request's body, in bytes
 * @param headerTimeout the longest time from the first byte of a header to its last
 * @param idleTimeout the longest time that a connection stays open between two requests
 */
public record CallerLimits(
        int largestHeaderBytes, long largestBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** The bounds of a configuration that names none: those of the gateway's settings apply alone. */
    public static final CallerLimits UNBOUNDED =
            new CallerLimits(Integer.MAX_VALUE, Long.MAX_VALUE, Duration.ofHours(1), Duration.ofHours(1));
}
