package org.chivecourse.configuration.model;

/**
 * Determines which services' calls are refused first when a gateway approaches its maximum number of open calls.
 *
 * <p>The ordinal of a priority is also the rank of the service's calls, zero for the most urgent, unless a route by
 * host name sets their rank. The order of the constants therefore matters.
 */
public enum Priority {
    /** Calls are refused last. */
    HIGH(100),

    /** Calls are refused before those of high priority. */
    NORMAL(80),

    /** Calls are refused first. */
    LOW(60);

    /** The share of a gateway's maximum number of open calls from which on calls are refused, in percent. */
    private final int openCallSharePercent;

    /**
     * Creates a priority.
     *
     * @param openCallSharePercent the share of a gateway's maximum of open calls from which on calls are refused,
     *     in percent
     */
    Priority(int openCallSharePercent) {
        this.openCallSharePercent = openCallSharePercent;
    }

    /**
     * Returns the share of a gateway's maximum number of open calls from which on calls of this priority are refused,
     * in percent.
     */
    public int openCallSharePercent() {
        return openCallSharePercent;
    }
}
