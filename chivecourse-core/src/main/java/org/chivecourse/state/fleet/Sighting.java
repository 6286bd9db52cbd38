package org.chivecourse.state.fleet;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.chivecourse.state.server.LoadReport;

/**
 * What a gateway saw of a backend server.
 *
 * @param server the identity of the backend server
 * @param kind what was seen
 * @param report the load that it stated, {@code null} unless it stated one
 * @param requests the number of requests that it was handed, zero unless that was seen
 * @param seenAt the time at which it was seen, in nanoseconds of the clock of the host that holds this record
 */
public record Sighting(
        String server,
        SightingKind kind,
        LoadReport report,
        int requests,
        @JsonProperty("seenAt") long seenAt) {

    /**
     * Creates a sighting other than of requests that were handed over.
     *
     * @param server the identity of the backend server
     * @param kind what was seen
     * @param report the load that it stated, {@code null} unless it stated one
     * @param seenAt the time at which it was seen, in nanoseconds of the clock of the host that holds this record
     */
    public Sighting(String server, SightingKind kind, LoadReport report, long seenAt) {
        this(server, kind, report, 0, seenAt);
    }

    /**
     * Returns a sighting of requests that were handed to a backend server.
     *
     * @param server the identity of the backend server
     * @param requests the number of requests
     * @param seenAt the time of the last one, in nanoseconds of the clock of the host that holds this record
     * @return the sighting
     */
    public static Sighting ofHanded(String server, int requests, long seenAt) {
        return new Sighting(server, SightingKind.HANDED, null, requests, seenAt);
    }
}
