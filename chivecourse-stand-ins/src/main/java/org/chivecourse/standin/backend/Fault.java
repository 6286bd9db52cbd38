package org.chivecourse.standin.backend;

/** A way in which a stand-in of a backend server misbehaves. */
public enum Fault {
    /** The stand-in behaves well. */
    NONE,

    /** Each request takes several times as long. */
    STRAGGLE,

    /** A neighbour takes the machine for a few milliseconds every now and then. */
    NOISY,

    /** The stand-in has just started, and its requests take longer until it is warm. */
    COLD,

    /** The stand-in says that it leaves, and refuses nothing. */
    DRAIN,

    /** The stand-in refuses every request with its refusal signal. */
    SHED,

    /** The stand-in answers every request with status 500 at once. */
    FAIL_FAST,

    /** The stand-in states an empty load whatever its load. */
    LIE,

    /** The stand-in cuts each answer in its middle. */
    CUT
}
