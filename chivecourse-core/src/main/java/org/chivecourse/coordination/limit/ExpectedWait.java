package org.chivecourse.coordination.limit;

import java.util.List;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/** The estimate of the time until a new call that has to wait on this host would be answered. */
public final class ExpectedWait {

    /** The shortest time after which a refused caller may come back, in seconds. */
    private static final int MINIMUM_RETRY_AFTER_SECONDS = 1;

    /** The longest time after which a refused caller may come back, in seconds. */
    private static final int MAXIMUM_RETRY_AFTER_SECONDS = 30;

    /** The number of nanoseconds in a second. */
    private static final double NANOSECONDS_PER_SECOND = 1_000_000_000.0;

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
        double serviceNanosecondsSum = 0;
        int knownCount = 0;
        for (ServerState server : servers) {
            if (server.leavingCause() == LeavingCause.NONE && server.averageServiceNanoseconds() > 0) {
                int busy = Math.min(
                        Math.max(1, server.ownInFlight()), server.server().slots());
                perNanosecond += busy / server.averageServiceNanoseconds();
                serviceNanosecondsSum += server.averageServiceNanoseconds();
                knownCount++;
            }
        }
        return knownCount == 0 ? 0 : (long) (ahead / perNanosecond + serviceNanosecondsSum / knownCount);
    }

    /**
     * Returns the estimate for a host that shares the backend servers with others.
     *
     * @param ahead the number of calls that wait on this host before the new one
     * @param servers the backend servers of the service
     * @param hostCount the number of hosts
     * @return the time in nanoseconds, zero if nothing is known
     */
    public static long nanosecondsInFleet(int ahead, List<ServerState> servers, int hostCount) {
        double perNanosecond = 0;
        for (ServerState server : servers) {
            if (server.leavingCause() == LeavingCause.NONE && server.averageServiceNanoseconds() > 0) {
                perNanosecond += server.server().slots() / server.averageServiceNanoseconds();
            }
        }
        return perNanosecond == 0 ? 0 : (long) (ahead * hostCount / perNanosecond);
    }

    /**
     * Returns the time after which a refused caller may come back.
     *
     * @param ahead the number of calls that wait
     * @param servers the backend servers of the service
     * @return the time in seconds
     */
    public static int retryAfterSeconds(int ahead, List<ServerState> servers) {
        int seconds = (int) Math.ceil(nanoseconds(ahead, servers) / NANOSECONDS_PER_SECOND);
        return Math.max(MINIMUM_RETRY_AFTER_SECONDS, Math.min(MAXIMUM_RETRY_AFTER_SECONDS, seconds));
    }
}
