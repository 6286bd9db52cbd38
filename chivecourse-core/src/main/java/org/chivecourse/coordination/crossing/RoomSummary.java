package org.chivecourse.coordination.crossing;

import java.util.List;
import org.chivecourse.coordination.choice.FinishEstimate;
import org.chivecourse.state.fleet.Room;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.LoadReport;
import org.chivecourse.state.server.ServerState;

/** Sums up the room of a data centre's backend servers, and divides a sum among them where single loads are unknown. */
public enum RoomSummary {
    /** The only instance. */
    INSTANCE;

    /** The share of its free room that a data centre keeps for its own callers. */
    private static final double KEPT_SHARE = 0.25;

    /** The work time of a request if none has ended yet, in nanoseconds. */
    private static final double UNKNOWN_WORK_NANOSECONDS = 250_000_000;

    /** The age of a server's own report up to which a later sum does not replace it, in nanoseconds. */
    private static final long SINGLE_REPORT_NANOSECONDS = 500_000_000L;

    /** The number of nanoseconds in a second. */
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /**
     * Sums up the room of the local backend servers of a service.
     *
     * @param servers the backend servers of the service in all data centres
     * @param needing the number of other data centres that need it
     * @return the room, {@code null} if there is no local backend server
     */
    public Room of(String service, List<ServerState> servers, int needing, long now) {
        int slots = 0;
        double inFlight = 0;
        double sparePerSecond = 0;
        boolean any = false;
        for (ServerState server : servers) {
            if (!server.local()) {
                continue;
            }
            any = true;
            if (answers(server, now) && !server.warmUp().cold(now)) {
                double load = FinishEstimate.inFlight(server, 0, now);
                slots += server.server().slots();
                inFlight += load;
                double free = Math.max(0, FinishEstimate.efficientInFlightLimit(server) - load);
                sparePerSecond += free * (1 - KEPT_SHARE) * NANOSECONDS_PER_SECOND / workNanoseconds(server, now);
            }
        }
        int spare = (int) Math.ceil(sparePerSecond / Math.max(1, needing));
        return any ? new Room(service, slots, (int) Math.round(inFlight), spare, now) : null;
    }

    /** Returns whether a backend server is in service, and neither ejected nor unreachable. */
    public static boolean answers(ServerState server, long now) {
        return server.leavingCause() == LeavingCause.NONE
                && !server.ejected(now)
                && !server.condition().isUnreachable(now);
    }

    /** Returns the time that a request takes on a backend server, in nanoseconds. */
    private static double workNanoseconds(ServerState server, long now) {
        double usual = server.averageServiceNanoseconds();
        return (usual > 0 ? usual : UNKNOWN_WORK_NANOSECONDS) * Math.max(1, FinishEstimate.slowness(server, now));
    }

    /**
     * Divides the load of another data centre among its backend servers of a service, except those whose own load is
     * known.
     *
     * @param servers the backend servers of the service in all data centres
     */
    public void divide(String dataCentre, Room room, List<ServerState> servers) {
        for (ServerState server : servers) {
            boolean known = server.hasReport() && room.observedAt() - server.reportedAt() < SINGLE_REPORT_NANOSECONDS;
            if (!known && server.server().dataCentre().equals(dataCentre)) {
                int slots = server.server().slots();
                int share = (int) Math.round((double) room.inFlight() * slots / Math.max(1, room.slots()));
                server.recordReport(new LoadReport(room.slots() == 0 ? slots : share, slots), room.observedAt());
            }
        }
    }
}
