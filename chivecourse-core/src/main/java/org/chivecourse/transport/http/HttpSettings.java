package org.chivecourse.transport.http;

import java.time.Duration;

/**
 * The limits on HTTP messages and connections.
 *
 * @param maximumHeaderBytes the maximum size of a request's header and of its first line
 * @param maximumHeaderLines the maximum number of lines of a request's header
 * @param maximumBodyBytes the maximum size of the body of a request or an answer
 * @param maximumReplayableBodyBytes the maximum size of a request's body that is kept in memory so that it can be sent
 *     again
 * @param maximumConnections the maximum number of callers' connections, zero if the process's memory and sockets
 *     decide
 * @param maximumSockets the maximum number of sockets of the process, zero if the operating system's limit on
 *     descriptors is that of sockets
 * @param headTimeout the maximum time from the first part of a request's header to its end
 * @param readTimeout the maximum pause of a caller within a request
 * @param idleTimeout the maximum time that a caller's connection stays open between requests
 * @param connectTimeout the maximum time to open a connection to a backend server, and to wait for one of its pool
 * @param stallTimeout the maximum pause of a backend server within an answer
 * @param linkBytesPerSecond the bandwidth of the host's link in each direction, zero if it is not known
 */
public record HttpSettings(
        int maximumHeaderBytes,
        int maximumHeaderLines,
        long maximumBodyBytes,
        int maximumReplayableBodyBytes,
        int maximumConnections,
        int maximumSockets,
        Duration headTimeout,
        Duration readTimeout,
        Duration idleTimeout,
        Duration connectTimeout,
        Duration stallTimeout,
        long linkBytesPerSecond) {

    /** The limits that apply unless the settings specify others. */
    public static final HttpSettings DEFAULT = new HttpSettings(
            16 * 1024,
            16 * 1024,
            1024L * 1024 * 1024,
            64 * 1024,
            0,
            0,
            Duration.ofSeconds(20),
            Duration.ofSeconds(20),
            Duration.ofSeconds(60),
            Duration.ofMillis(500),
            Duration.ofSeconds(60),
            0);

    /**
     * Returns a copy of these limits with another connect timeout.
     *
     * @param timeout the maximum time to open a connection to a backend server
     * @return the copy
     */
    public HttpSettings withConnectTimeout(Duration timeout) {
        return new HttpSettings(
                maximumHeaderBytes,
                maximumHeaderLines,
                maximumBodyBytes,
                maximumReplayableBodyBytes,
                maximumConnections,
                maximumSockets,
                headTimeout,
                readTimeout,
                idleTimeout,
                timeout,
                stallTimeout,
                linkBytesPerSecond);
    }
}
