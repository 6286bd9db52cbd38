package org.chivecourse.coordination.choice;

import java.util.List;
import java.util.function.Predicate;
import org.chivecourse.state.server.ServerState;

/**
 * The estimate of the requests that other hosts have sent to a backend server since its last report and have not told
 * of yet.
 *
 * <p>Hosts that see the same few backend servers with room would all send to them at the same moment; each therefore
 * expects the others to send as often as itself, in equal parts to the backend servers that have room.
 */
public final class UnreportedRequests {

    /** The time after which other hosts have told of a request, in nanoseconds. */
    private static final long REPORTING_DELAY_NANOSECONDS = 100_000_000L;

    /** The largest number of requests that are expected at one backend server. */
    private static final double MAXIMUM_EXPECTED_REQUESTS = 2;

    /** The requests of other hosts per nanosecond that are expected at each backend server. */
    private double perNanosecond;

    /**
     * Expects no requests.
     */
    void reset() {
        perNanosecond = 0;
    }

    /**
     * Expects requests at those backend servers that have room.
     *
     * @param otherHostsRequestsPerNanosecond the requests of other hosts per nanosecond
     * @param servers the backend servers
     * @param hasRoom whether a backend server has room as far as is known
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
     * Returns the number of requests that are expected at a backend server.
     *
     * @param server the backend server
     * @param now the time in nanoseconds
     * @return the number of requests
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
