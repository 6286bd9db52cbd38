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

    /** Whether the host observed it at the backend server, rather than received it from elsewhere. */
    private final boolean observedDirectly;

    /**
     * Creates a cause.
     *
     * @param observedDirectly whether the host observed it at the backend server
     */
    LeavingCause(boolean observedDirectly) {
        this.observedDirectly = observedDirectly;
    }

    /**
     * Returns whether the backend server may return to service on later signs that it is healthy. The configuration, an
     * announcement and a replacement can only be revoked by their source.
     *
     * @return {@code false} if only the source can revoke the cause
     */
    public boolean revocable() {
        return this != CONFIGURATION && this != ANNOUNCEMENT && this != REPLACED;
    }

    /**
     * Returns whether the host observed it at the backend server. Other hosts do not learn of such a cause unless this
     * one reports it to them.
     */
    public boolean observedDirectly() {
        return observedDirectly;
    }
}
