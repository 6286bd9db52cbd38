package org.chivecourse.state.server;

/**
 * The load that a backend server reports about itself.
 *
 * @param inFlight the number of requests that it is running or has queued
 * @param slots the number of requests that it runs at the same time
 * @param slownessPercent the time that work currently takes on its machine, in percent of the typical time, zero if not
 *     reported
 */
public record LoadReport(int inFlight, int slots, int slownessPercent) {

    /**
     * Creates a report without slowness.
     *
     * @param inFlight the number of requests that it is running or has queued
     * @param slots the number of requests that it runs at the same time
     */
    public LoadReport(int inFlight, int slots) {
        this(inFlight, slots, 0);
    }

    /**
     * Returns the load without the request whose answer carried the report, since that request has ended.
     *
     * @return a report with one request fewer in flight, at least zero
     */
    public LoadReport withoutAnsweredRequest() {
        return new LoadReport(Math.max(0, inFlight - 1), slots, slownessPercent);
    }
}
