package org.chivecourse.coordination.measure;

import java.util.List;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/** The choice of the backend server whose load is worth a probe. */
public final class ProbeTarget {

    /** The age from which a report is worth a probe, in nanoseconds. */
    private static final long MINIMUM_REPORT_AGE_NANOSECONDS = 100_000_000L;

    /** Not to be constructed. */
    private ProbeTarget() {}

    /**
     * Returns the backend server with the oldest report among those that take requests.
     *
     * @param servers the backend servers
     * @param now the time in nanoseconds
     * @return the backend server, or {@code null} if every report is fresh enough
     */
    public static ServerState choose(List<ServerState> servers, long now) {
        ServerState oldest = null;
        for (ServerState server : servers) {
            boolean stale = !server.hasReport() || now - server.reportedAt() > MINIMUM_REPORT_AGE_NANOSECONDS;
            if (!stale || server.leavingCause() != LeavingCause.NONE) {
                continue;
            }
            if (oldest == null || older(server, oldest)) {
                oldest = server;
            }
        }
        return oldest;
    }

    /**
     * Returns whether a backend server's report is older than another's.
     *
     * @param first the backend server
     * @param second the other backend server
     * @return {@code true} if the first has no report or an older one
     */
    private static boolean older(ServerState first, ServerState second) {
        if (!second.hasReport()) {
            return false;
        }
        return !first.hasReport() || first.reportedAt() - second.reportedAt() < 0;
    }
}
