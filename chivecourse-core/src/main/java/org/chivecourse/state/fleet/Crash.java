package org.chivecourse.state.fleet;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * A request that was running at a backend server when the server ended.
 *
 * @param fingerprint a hash that duplicates of the request share
 * @param server the process of the backend server, as named by {@code ServerState.processName}
 * @param endedAt the time of the server's end, in nanoseconds of the clock of the host that holds this record
 * @param possible whether the server may go on running, since only a connection to it is known to have broken
 */
public record Crash(
        long fingerprint,
        String server,
        long endedAt,
        @JsonInclude(JsonInclude.Include.NON_DEFAULT) boolean possible) {

    /** Creates a crash whose server is known to have ended. */
    public Crash(long fingerprint, String server, long endedAt) {
        this(fingerprint, server, endedAt, false);
    }
}
