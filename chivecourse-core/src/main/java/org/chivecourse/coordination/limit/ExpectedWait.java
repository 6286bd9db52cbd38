package org.chivecourse.coordination.limit;

import java.util.List;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/** The estimate of the time until a new call that has to wait on this host would be answered. */
public final class ExpectedWait {

    /** The shortest time after which a refused caller may come back, in seconds. */
    private static final int SHORTEST_SECONDS = 1;

    /** The longest time after which a refused caller may come back, in seconds. */
    private static final int LONGEST_SECONDS = 30;

    /** The number of nanoseconds in a second. */
    private static final double SECOND = 1_000_000_000.0;

    /** Not to be constructed. */
    private ExpectedWait() {}

    /**
     * Returns the estimate.
     *
     * @param ahead the number of calls that wait before the new one
     * @param servers the backend servers of the service
     * @return the time in nanoseconds, zero if nothing is known
     */
    public static long nanoseconds(int ahead, List<ServerState> servers) {
        double perNanosecond = 0;
        double service = 0;
        int known = 0;
        for (ServerState server : servers) {
            if (server.leavingCause() == LeavingCause.NONE && server.averageServiceNanoseconds() > 0) {
                int busy = Math.min(
                        Math.max(1, server.ownInFlight()), server.server().slots());
                perNanosecond += busy / server.averageServiceNanoseconds();
                service += server.averageServiceNanoseconds();
                known++;
            }
        }
        return known == 0 ? 0 : (long) (ahead / perNanosecond + service / known);
    }

    /**
     * Returns the estimate for a host that shares the backend servers with others.
     *
     * @param ahead the number of calls that wait on this host before the new one
     * @param servers the backend servers of the service
     * @param hosts the number of hosts
     * @return the time in nanoseconds, zero if nothing is known
     */
    public static long inFleet(int ahead, List<ServerState> servers, int hosts) {
        double perNanosecond = 0;
        for (ServerState server : servers) {
            if (server.leavingCause() == LeavingCause.NONE && server.averageServiceNanoseconds() > 0) {
                perNanosecond += server.server().slots() / server.averageServiceNanoseconds();
            }
        }
        return perNanosecond == 0 ? 0 : (long) (ahead * hosts / perNanosecond);
    }

    /**
     * Returns the time after which a refused caller may come back.
     *
     * @param ahead the number of calls that wait
     * @param servers the backend servers of the service
     * @return the time in seconds
     */
    public static int retryAfterSeconds(int ahead, List<ServerState> servers) {
        int seconds = (int) Math.ceil(nanoseconds(ahead, servers) / SECOND);
        return Math.max(SHORTEST_SECONDS, Math.min(LONGEST_SECONDS, seconds));
    }
}
