package org.chivecourse.state.fleet;

/**
 * A request that was running at a backend server when the server ended.
 *
 * @param fingerprint a hash that duplicates of the request share
 * @param server the process of the backend server, as named by {@code ServerState.processName}
 * @param endedAt the time of the server's end, in nanoseconds of the clock of the host that holds this record
 */
public record Crash(long fingerprint, String server, long endedAt) {}
