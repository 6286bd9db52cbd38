package org.chivecourse.coordination.limit;

import java.util.List;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/** Estimates the time until a new call that has to wait on this host would be answered. */
public final class ExpectedWait {

    /** The shortest time after which a refused caller is asked to retry. */
    private static final int MINIMUM_RETRY_AFTER_SECONDS = 1;

    /** The longest time after which a refused caller is asked to retry. */
    private static final int MAXIMUM_RETRY_AFTER_SECONDS = 30;

    /** The number of nanoseconds in a second. */
    private static final double NANOSECONDS_PER_SECOND = 1_000_000_000.0;

    /** Not instantiable. */
    private ExpectedWait() {}

    /**
     * Returns the expected time in nanoseconds, from the requests that this host has in flight; zero if no service time
     * is known.
     *
     * @param ahead the number of calls that wait ahead of the new one
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
     * Returns the expected time in nanoseconds for a host that shares the backend servers with others; zero if no
     * service time is known. Assumes that as many calls wait on each host as on this one.
     *
     * @param ahead the number of calls that wait on this host ahead of the new one
     * @param hostCount the number of hosts
     */
    public static long nanosecondsInFleet(int ahead, List<ServerState> servers, int hostCount, long now) {
        double perNanosecond = 0;
        for (ServerState server : servers) {
            if (server.takesRequests(now) && server.averageServiceNanoseconds() > 0) {
                double ofServer = server.server().slots() / server.averageServiceNanoseconds();
                double permitted = hostCount * server.allowance().ownRequestsPerNanosecond();
                double ofCold = hostCount * server.warmUp().ownRequestsPerNanosecond();
                perNanosecond += Math.min(
                        server.warmUp().limited(now) ? ofCold : ofServer,
                        server.allowance().limited(now) ? Math.min(ofServer, permitted) : ofServer);
            }
        }
        return perNanosecond == 0 ? 0 : (long) (ahead * hostCount / perNanosecond);
    }

    /**
     * Returns the time after which a refused caller may retry, in seconds.
     *
     * @param ahead the number of calls that wait
     */
    public static int retryAfterSeconds(int ahead, List<ServerState> servers) {
        int seconds = (int) Math.ceil(nanoseconds(ahead, servers) / NANOSECONDS_PER_SECOND);
        return Math.max(MINIMUM_RETRY_AFTER_SECONDS, Math.min(MAXIMUM_RETRY_AFTER_SECONDS, seconds));
    }
}
