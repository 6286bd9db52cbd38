package org.chivecourse.state.fleet;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.chivecourse.state.server.LoadReport;

/**
 * A gateway's observation of a backend server.
 *
 * @param server the identity of the backend server
 * @param kind the kind of observation
 * @param report the reported load, {@code null} unless the observation is of a load report
 * @param requests the number of requests dispatched to the backend server, zero unless the observation is of these
 * @param observedAt the time of the observation, in nanoseconds of the clock of the host that holds this record
 */
public record Observation(
        String server,
        ObservationKind kind,
        LoadReport report,
        int requests,
        @JsonProperty("seenAt") long observedAt) {

    /**
     * Creates an observation of any kind but dispatched requests.
     *
     * @param server the identity of the backend server
     * @param kind the kind of observation
     * @param report the reported load, {@code null} unless the observation is of a load report
     * @param observedAt the time of the observation, in nanoseconds of the clock of the host that holds this record
     */
    public Observation(String server, ObservationKind kind, LoadReport report, long observedAt) {
        this(server, kind, report, 0, observedAt);
    }

    /**
     * Creates an observation of requests that were dispatched to a backend server.
     *
     * @param server the identity of the backend server
     * @param requests the number of requests
     * @param observedAt the time of the last of them, in nanoseconds of the clock of the host that holds this record
     * @return the observation
     */
    public static Observation ofDispatched(String server, int requests, long observedAt) {
        return new Observation(server, ObservationKind.HANDED, null, requests, observedAt);
    }
}
