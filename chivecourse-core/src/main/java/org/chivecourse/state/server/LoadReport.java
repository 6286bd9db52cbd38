package org.chivecourse.state.server;

/**
 * The load that a backend server states of itself.
 *
 * @param inFlight the number of requests it runs or holds waiting
 * @param slots the number of requests it runs at the same time
 * @param slownessPercent the time that work takes on its machine at the moment, a hundred as usual, zero if not stated
 */
public record LoadReport(int inFlight, int slots, int slownessPercent) {

    /**
     * Creates a report that does not state how long work takes.
     *
     * @param inFlight the number of requests it runs or holds waiting
     * @param slots the number of requests it runs at the same time
     */
    public LoadReport(int inFlight, int slots) {
        this(inFlight, slots, 0);
    }

    /**
     * Returns the load without the request whose answer stated it, which has ended.
     *
     * @return the report
     */
    public LoadReport withoutAnsweredRequest() {
        return new LoadReport(Math.max(0, inFlight - 1), slots, slownessPercent);
    }
}
