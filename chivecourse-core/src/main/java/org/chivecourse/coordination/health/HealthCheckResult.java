package org.chivecourse.coordination.health;

/** What a look at a backend server's health endpoint found. */
public enum HealthCheckResult {
    /** The backend server says that it serves. */
    SERVING,

    /** The backend server says that it does not serve, because it is leaving. */
    LEAVING,

    /** The backend server did not answer. */
    UNREACHABLE
}
