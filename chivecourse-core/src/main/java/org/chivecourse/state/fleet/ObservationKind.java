package org.chivecourse.state.fleet;

/** What a gateway can see of a backend server. */
public enum ObservationKind {
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
    LEAVING,

    /** It was handed requests, which its next statement of its load will count. */
    HANDED {
        @Override
        public Observation merge(Observation known, Observation added) {
            long latest = Math.max(known.observedAt(), added.observedAt());
            return Observation.ofDispatched(added.server(), known.requests() + added.requests(), latest);
        }
    };

    /**
     * Returns what tells the same as two sightings of this kind.
     *
     * @param known a sighting
     * @param added another sighting of the same backend server
     * @return the newer one, or both together where each adds to what is known
     */
    public Observation merge(Observation known, Observation added) {
        return added.observedAt() - known.observedAt() > 0 ? added : known;
    }
}
