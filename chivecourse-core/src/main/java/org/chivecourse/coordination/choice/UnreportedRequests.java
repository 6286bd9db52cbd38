package org.chivecourse.coordination.choice;

import java.util.List;
import java.util.function.Predicate;
import org.chivecourse.state.server.ServerState;

/**
 * Estimates the requests that other hosts have sent to a backend server since its last report and have not reported
 * yet.
 *
 * <p>Hosts that all know the same few backend servers with room would otherwise all send to them at once. Each host
 * therefore assumes that the others send as often as it does itself, in equal parts to the backend servers that have
 * room.
 */
public final class UnreportedRequests {

    /** The time after which other hosts have reported a request. */
    private static final long REPORTING_DELAY_NANOSECONDS = 100_000_000L;

    /** The maximum number of unreported requests that are expected at one backend server. */
    private static final double MAXIMUM_EXPECTED_REQUESTS = 2;

    /** The rate of other hosts' requests that is expected at each backend server with room, per nanosecond. */
    private double perNanosecond;

    /** Expects no requests. */
    void reset() {
        perNanosecond = 0;
    }

    /**
     * Divides the rate of other hosts' requests equally among the backend servers that have room as far as is known.
     */
    void expect(double otherHostsRequestsPerNanosecond, List<ServerState> servers, Predicate<ServerState> hasRoom) {
        perNanosecond = 0;
        if (otherHostsRequestsPerNanosecond == 0) {
            return;
        }
        int count = 0;
        for (ServerState server : servers) {
            if (hasRoom.test(server)) {
                count++;
            }
        }
        perNanosecond = otherHostsRequestsPerNanosecond / Math.max(1, count);
    }

    /**
     * Returns the number of unreported requests expected at a backend server; zero if it has never reported its load.
     */
    double expectedAt(ServerState server, long now) {
        if (perNanosecond == 0 || !server.hasReport()) {
            return 0;
        }
        return Math.min(
                MAXIMUM_EXPECTED_REQUESTS,
                perNanosecond * Math.min(REPORTING_DELAY_NANOSECONDS, now - server.reportedAt()));
    }
}
