package org.chivecourse.state.server;

/** How a host learnt that a backend server is leaving. */
public enum LeavingCause {
    /** The backend server is not leaving. */
    NONE(false),

    /** The configuration says so. */
    CONFIGURATION(false),

    /** The backend server's health endpoint says so. */
    HEALTH(true),

    /** An answer of the backend server carried the header field. */
    HEADER(true),

    /** The backend server refused a request because it leaves. */
    REFUSAL(true),

    /** Another gateway said so. */
    PEER(false),

    /** Its announcement says so. */
    ANNOUNCEMENT(false),

    /** Another backend server answers at its address. */
    REPLACED(false);

    /** Whether the host found out by itself. */
    private final boolean observedDirectly;

    /**
     * Creates a cause.
     *
     * @param observedDirectly whether the host found out by itself
     */
    LeavingCause(boolean observedDirectly) {
        this.observedDirectly = observedDirectly;
    }

    /**
     * Returns whether later signs that the backend server serves count against the cause.
     *
     * @return {@code false} if only whoever stated it can take it back
     */
    public boolean revocable() {
        return this != CONFIGURATION && this != ANNOUNCEMENT && this != REPLACED;
    }

    /**
     * Returns whether the host found out by itself.
     *
     * @return {@code true} if other hosts do not learn of it unless this one tells them
     */
    public boolean observedDirectly() {
        return observedDirectly;
    }
}
