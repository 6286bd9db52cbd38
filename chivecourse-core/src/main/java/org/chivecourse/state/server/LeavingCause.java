package org.chivecourse.state.server;

/** How a host learnt that a backend server is leaving. */
public enum LeavingCause {
    /** The backend server is in service. */
    NONE(false),

    /** The configuration marks the backend server as leaving. */
    CONFIGURATION(false),

    /** The backend server's health endpoint reported it. */
    HEALTH(true),

    /** An answer of the backend server carried the header field that signals it. */
    HEADER(true),

    /** The backend server refused a request because it is leaving. */
    REFUSAL(true),

    /** Another gateway reported it. */
    PEER(false),

    /** The backend server's announcement marks it as leaving. */
    ANNOUNCEMENT(false),

    /** Another backend server answers at its address. */
    REPLACED(false);

    /** Whether the host itself observed it, in a health check or an answer of the backend server. */
    private final boolean observedDirectly;

    /**
     * Creates a cause.
     *
     * @param observedDirectly whether the host itself observed it, in a health check or an answer of the backend server
     */
    LeavingCause(boolean observedDirectly) {
        this.observedDirectly = observedDirectly;
    }

    /**
     * Returns whether the backend server may return to service once it is found healthy again. Where the configuration
     * or an announcement marks it as leaving, only a changed one revokes that; a replaced backend server does not
     * return.
     *
     * @return {@code false} if the health of the backend server cannot revoke the cause
     */
    public boolean revocable() {
        return this != NONE && this != CONFIGURATION && this != ANNOUNCEMENT && this != REPLACED;
    }

    /**
     * Returns whether the host itself observed it, in a health check or an answer of the backend server. Other hosts
     * may not have observed it, so this one reports it to them.
     */
    public boolean observedDirectly() {
        return observedDirectly;
    }
}
