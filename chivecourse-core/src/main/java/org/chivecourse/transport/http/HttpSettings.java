package org.chivecourse.transport.http;

import java.time.Duration;

/**
 * The bounds on HTTP connections.
 *
 * @param maximumHeaderBytes the largest size of a request's header
 * @param maximumBodyBytes the largest size of a request's body
 * @param maximumReplayableBodyBytes the largest size of a body that is held so that it can be sent again
 * @param readTimeout the longest pause of a caller within a request
 * @param idleTimeout the longest time that a connection stays open between requests
 * @param connectTimeout the longest time to open a connection to a backend server
 * @param stallTimeout the longest pause of a backend server within an answer
 */
public record HttpSettings(
        int maximumHeaderBytes,
        long maximumBodyBytes,
        int maximumReplayableBodyBytes,
        Duration readTimeout,
        Duration idleTimeout,
        Duration connectTimeout,
        Duration stallTimeout) {

    /** The bounds where nothing else is said. */
    public static final HttpSettings DEFAULT = new HttpSettings(
            16 * 1024,
            1024L * 1024 * 1024,
            64 * 1024,
            Duration.ofSeconds(20),
            Duration.ofSeconds(60),
            Duration.ofMillis(500),
            Duration.ofSeconds(60));

    /**
     * Returns these bounds with another time to connect.
     *
     * @param timeout the longest time to open a connection to a backend server
     * @return the changed bounds
     */
    public HttpSettings withConnectTimeout(Duration timeout) {
        return new HttpSettings(
                maximumHeaderBytes,
                maximumBodyBytes,
                maximumReplayableBodyBytes,
                readTimeout,
                idleTimeout,
                timeout,
                stallTimeout);
    }
}
