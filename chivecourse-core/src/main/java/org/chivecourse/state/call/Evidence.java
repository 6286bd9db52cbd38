package org.chivecourse.state.call;

/** What a host knows of an attempt's effect on the backend server. */
public enum Evidence {
    /** No byte was handed to a connection. */
    NOT_SENT(true),

    /** The backend server refused the request with the signal that its service declares. */
    REFUSED(true),

    /** Bytes were handed to a connection, and nothing excludes that the request ran. */
    MAY_HAVE_RUN(false);

    /** Whether the evidence proves that the request did not run. */
    private final boolean provesNotRun;

    /**
     * Creates evidence.
     *
     * @param provesNotRun whether it proves that the request did not run
     */
    Evidence(boolean provesNotRun) {
        this.provesNotRun = provesNotRun;
    }

    /**
     * Returns whether the evidence proves that the request did not run.
     *
     * @return {@code true} if nothing that could act on the request has received it
     */
    public boolean provesNotRun() {
        return provesNotRun;
    }
}
