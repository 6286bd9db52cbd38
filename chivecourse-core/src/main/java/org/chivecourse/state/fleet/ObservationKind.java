package org.chivecourse.state.fleet;

/** The kinds of observations that a gateway makes of backend servers. */
public enum ObservationKind {
    /** The backend server reported its load. */
    LOAD,

    /** The backend server failed a request that was dispatched to it. */
    FAILURE,

    /** The backend server could not be connected to, or did not answer a probe. */
    UNREACHABLE,

    /** The backend server reported that it is unhealthy. */
    UNWELL,

    /** The address of the backend server is used by another one. */
    REPLACED,

    /** The backend server signalled on an answer that it is leaving. */
    LEAVING,

    /** Requests were dispatched to the backend server that its next load report will count. */
    HANDED {
        @Override
        public Observation merge(Observation recorded, Observation added) {
            long latest = Math.max(recorded.observedAt(), added.observedAt());
            return Observation.ofDispatched(added.server(), recorded.requests() + added.requests(), latest);
        }

        @Override
        public boolean urgent() {
            return true;
        }
    };

    /** Returns whether the next choices of other gateways depend on an observation of this kind. */
    public boolean urgent() {
        return this == LOAD;
    }

    /**
     * Merges two observations of this kind of the same backend server into one that replaces both.
     *
     * @param recorded the observation already recorded
     * @param added the other observation
     * @return the newer one, or the sum where observations of this kind add up
     */
    public Observation merge(Observation recorded, Observation added) {
        return added.observedAt() - recorded.observedAt() > 0 ? added : recorded;
    }
}
