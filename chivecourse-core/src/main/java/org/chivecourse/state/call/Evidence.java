package org.chivecourse.state.call;

/** What a host knows about an attempt's effect on the backend server. */
public enum Evidence {
    /** Nothing was written to a connection. */
    NOT_SENT(true),

    /** The backend server refused the request with the refusal signal of its service. */
    REFUSED(true),

    /** The request was written to a connection and may have run. */
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
     * @return {@code true} if no backend server that could run the request has received it
     */
    public boolean provesNotRun() {
        return provesNotRun;
    }
}
