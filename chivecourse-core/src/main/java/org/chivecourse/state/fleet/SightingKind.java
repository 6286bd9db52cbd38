package org.chivecourse.state.fleet;

/** What a gateway can see of a backend server. */
public enum SightingKind {
    /** It stated its load. */
    LOAD,

    /** It failed a request that it had been handed. */
    FAILURE,

    /** It could not be connected to, or did not answer a probe. */
    UNREACHABLE,

    /** It said of itself that it does not serve. */
    UNWELL,

    /** Its address is used by another backend server. */
    REPLACED,

    /** It said on an answer that it leaves. */
    LEAVING
}
