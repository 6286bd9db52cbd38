package org.chivecourse.state.server;

/**
 * The requests of other hosts at a backend server: those counted in its last load report, and those that other hosts
 * reported as dispatched since then.
 */
final class ReportedLoad {

    /** The number of other hosts' requests. */
    private int othersInFlight;

    /** The sum over a service's backend servers that this number is part of, {@code null} if there is none. */
    private ReportedTotal total;

    /** The time of the last report, in nanoseconds. */
    private long reportedAt;

    /** Whether a report was received. */
    private boolean reported;

    /**
     * Records a load report, which replaces everything known before.
     *
     * @param inFlight the number of requests in the report
     * @param ownInFlight the number of this host's requests among them
     * @param reportTime the time of the report, in nanoseconds
     */
    void recordReport(int inFlight, int ownInFlight, long reportTime) {
        setOthersInFlight(Math.max(0, inFlight - ownInFlight));
        reportedAt = reportTime;
        reported = true;
    }

    /**
     * Adds requests that other hosts dispatched to the backend server, unless its last report already counts them.
     *
     * @param requests the number of requests
     * @param lastDispatchedAt the time of the last of them, in nanoseconds
     */
    void recordDispatched(int requests, long lastDispatchedAt) {
        if (reported && lastDispatchedAt - reportedAt >= 0) {
            setOthersInFlight(othersInFlight + requests);
        }
    }

    /**
     * Sets the number of other hosts' requests and updates the sum.
     *
     * @param count the number of requests
     */
    private void setOthersInFlight(int count) {
        if (total != null) {
            total.add(count - othersInFlight);
        }
        othersInFlight = count;
    }

    /**
     * Adds later changes of the number to a sum. The current number is not added.
     *
     * @param sum the sum
     */
    void contributeTo(ReportedTotal sum) {
        total = sum;
    }

    /** Returns the number of other hosts' requests. */
    int othersInFlight() {
        return othersInFlight;
    }

    /** Returns the time of the last report, in nanoseconds, zero if there was none. */
    long reportedAt() {
        return reportedAt;
    }

    /** Returns whether a report was received. */
    boolean hasReport() {
        return reported;
    }
}
