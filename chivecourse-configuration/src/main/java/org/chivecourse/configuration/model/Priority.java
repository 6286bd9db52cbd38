package org.chivecourse.configuration.model;

/** The order in which services keep their capacity when there is too little of it. */
public enum Priority {
    /** Keeps its capacity longest. */
    HIGH(100),

    /** Gives up capacity before high priority. */
    NORMAL(80),

    /** Gives up capacity first. */
    LOW(60);

    /** The share of a host's places for waiting requests that the priority may fill, in percent. */
    private final int queueSharePercent;

    /**
     * Creates a priority.
     *
     * @param queueSharePercent the share of a host's places that the priority may fill, in percent
     */
    Priority(int queueSharePercent) {
        this.queueSharePercent = queueSharePercent;
    }

    /**
     * Returns the share of a host's places for waiting requests that this priority may fill.
     *
     * @return the share in percent
     */
    public int queueSharePercent() {
        return queueSharePercent;
    }
}
