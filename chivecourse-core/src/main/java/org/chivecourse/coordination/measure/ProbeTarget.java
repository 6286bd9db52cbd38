package org.chivecourse.coordination.measure;

import java.util.List;
import org.chivecourse.state.server.ServerState;

/** Chooses the backend server to probe next. */
public final class ProbeTarget {

    /** The age beyond which a load report is old enough for a probe. */
    private static final long MINIMUM_REPORT_AGE_NANOSECONDS = 100_000_000L;

    /** Not instantiable. */
    private ProbeTarget() {}

    /**
     * Returns the backend server in service with the oldest load report, or with none, or {@code null} if every report
     * is recent enough.
     */
    public static ServerState choose(List<ServerState> servers, long now) {
        ServerState oldest = null;
        for (ServerState server : servers) {
            boolean stale = !server.hasReport() || now - server.reportedAt() > MINIMUM_REPORT_AGE_NANOSECONDS;
            if (!stale || !server.takesRequests(now)) {
                continue;
            }
            if (oldest == null || older(server, oldest)) {
                oldest = server;
            }
        }
        return oldest;
    }

    /** Returns whether a backend server has an older report than another one, or none while the other has one. */
    private static boolean older(ServerState first, ServerState second) {
        if (!second.hasReport()) {
            return false;
        }
        return !first.hasReport() || first.reportedAt() - second.reportedAt() < 0;
    }
}
