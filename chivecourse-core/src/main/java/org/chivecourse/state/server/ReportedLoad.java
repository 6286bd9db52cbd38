package org.chivecourse.state.server;

/**
 * What is known of other hosts' requests at a backend server: those of its last report, and those that other hosts have
 * told of since.
 */
final class ReportedLoad {

    /** The number of other hosts' requests. */
    private int othersInFlight;

    /** The sum that the number counts in, {@code null} for none. */
    private ReportedTotal total;

    /** The time of the last report, in nanoseconds. */
    private long reportedAt;

    /** Whether there was a report. */
    private boolean reported;

    /**
     * Takes a report over.
     *
     * @param inFlight the number of requests that it states
     * @param ownInFlight the number of this host's requests among them
     * @param reportTime the time of the report, in nanoseconds
     */
    void recordReport(int inFlight, int ownInFlight, long reportTime) {
        setOthersInFlight(Math.max(0, inFlight - ownInFlight));
        reportedAt = reportTime;
        reported = true;
    }

    /**
     * Counts requests that other hosts handed to the backend server, unless its last report counts them already.
     *
     * @param requests the number of requests
     * @param lastDispatchedAt the time of the last one, in nanoseconds
     */
    void recordDispatched(int requests, long lastDispatchedAt) {
        if (reported && lastDispatchedAt - reportedAt >= 0) {
            setOthersInFlight(othersInFlight + requests);
        }
    }

    /**
     * Changes the number of other hosts' requests.
     *
     * @param count the number
     */
    private void setOthersInFlight(int count) {
        if (total != null) {
            total.add(count - othersInFlight);
        }
        othersInFlight = count;
    }

    /**
     * Has changes count in a sum.
     *
     * @param sum the sum
     */
    void contributeTo(ReportedTotal sum) {
        total = sum;
    }

    /**
     * Returns the number of other hosts' requests.
     *
     * @return the number of requests
     */
    int othersInFlight() {
        return othersInFlight;
    }

    /**
     * Returns the time of the last report.
     *
     * @return the time in nanoseconds
     */
    long reportedAt() {
        return reportedAt;
    }

    /**
     * Returns whether there was a report.
     *
     * @return {@code true} after the first report
     */
    boolean hasReport() {
        return reported;
    }
}
