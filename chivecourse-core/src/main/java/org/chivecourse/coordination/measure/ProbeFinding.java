package org.chivecourse.coordination.measure;

/** What a probe found of a backend server besides its load. */
public enum ProbeFinding {
    /** It serves, or says nothing of it. */
    SERVING,

    /** It says that it does not serve. */
    UNWELL,

    /** It could not be connected to or did not answer. */
    UNREACHABLE,

    /** Another backend server answers at its address. */
    OTHER_SERVER
}
