package org.chivecourse.coordination.limit;

import java.util.List;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/** Determines when a service takes requests again whose backend servers have all asked for rest. */
public final class RestingServers {

    /** This class has only static methods. */
    private RestingServers() {}

    /**
     * Returns the time until the first backend server in service may get a request again.
     *
     * @return the time in nanoseconds, zero if one of them does not rest, or if none is in service
     */
    public static long nanosecondsUntilFirst(List<ServerState> servers, long now) {
        long shortest = Long.MAX_VALUE;
        for (ServerState server : servers) {
            if (server.leavingCause() == LeavingCause.NONE) {
                shortest = Math.min(shortest, Math.max(0, server.rest().until() - now));
            }
        }
        return shortest == Long.MAX_VALUE ? 0 : shortest;
    }
}
