package org.chivecourse.coordination.health;

/** The result of a request to a backend server's health endpoint. */
public enum HealthCheckResult {
    /** The backend server reported that it serves. */
    SERVING,

    /** The backend server reported that it does not serve because it is leaving. */
    LEAVING,

    /** The backend server did not answer. */
    UNREACHABLE
}
