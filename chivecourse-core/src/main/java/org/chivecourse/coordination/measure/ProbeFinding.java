package org.chivecourse.coordination.measure;

/** The result of a probe besides the load of the backend server. The constants are written to trace files. */
public enum ProbeFinding {
    /** The backend server reported that it serves, or reported nothing about its health. */
    SERVING,

    /** The backend server reported that it is unhealthy. */
    UNWELL,

    /** The backend server reported that it is leaving. */
    LEAVING,

    /** The backend server could not be connected to or did not answer. */
    UNREACHABLE,

    /** Another backend server answered at the address. */
    OTHER_SERVER
}
