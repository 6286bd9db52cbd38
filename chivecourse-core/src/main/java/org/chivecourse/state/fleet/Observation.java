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
 * @param observedAt the time at which it was seen, in nanoseconds of the clock of the host that holds this record
 */
public record Observation(
        String server,
        ObservationKind kind,
        LoadReport report,
        int requests,
        @JsonProperty("seenAt") long observedAt) {

    /**
     * Creates a sighting other than of requests that were handed over.
     *
     * @param server the identity of the backend server
     * @param kind what was seen
     * @param report the load that it stated, {@code null} unless it stated one
     * @param observedAt the time at which it was seen, in nanoseconds of the clock of the host that holds this record
     */
    public Observation(String server, ObservationKind kind, LoadReport report, long observedAt) {
        this(server, kind, report, 0, observedAt);
    }

    /**
     * Returns a sighting of requests that were handed to a backend server.
     *
     * @param server the identity of the backend server
     * @param requests the number of requests
     * @param observedAt the time of the last one, in nanoseconds of the clock of the host that holds this record
     * @return the sighting
     */
    public static Observation ofDispatched(String server, int requests, long observedAt) {
        return new Observation(server, ObservationKind.HANDED, null, requests, observedAt);
    }
}
