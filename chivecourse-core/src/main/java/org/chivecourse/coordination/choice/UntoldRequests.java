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
public final class UntoldRequests {

    /** The time after which other hosts have told of a request, in nanoseconds. */
    private static final long TOLD_NANOSECONDS = 100_000_000L;

    /** The largest number of requests that are expected at one backend server. */
    private static final double LARGEST = 2;

    /** The requests of other hosts per nanosecond that are expected at each backend server. */
    private double perNanosecond;

    /**
     * Expects no requests.
     */
    void none() {
        perNanosecond = 0;
    }

    /**
     * Expects requests at those backend servers that have room.
     *
     * @param othersPerNanosecond the requests of other hosts per nanosecond
     * @param servers the backend servers
     * @param room whether a backend server has room as far as is known
     */
    void expect(double othersPerNanosecond, List<ServerState> servers, Predicate<ServerState> room) {
        perNanosecond = 0;
        if (othersPerNanosecond == 0) {
            return;
        }
        int count = 0;
        for (ServerState server : servers) {
            if (room.test(server)) {
                count++;
            }
        }
        perNanosecond = othersPerNanosecond / Math.max(1, count);
    }

    /**
     * Returns the number of requests that are expected at a backend server.
     *
     * @param server the backend server
     * @param now the time in nanoseconds
     * @return the number of requests
     */
    double at(ServerState server, long now) {
        if (perNanosecond == 0 || !server.hasReport()) {
            return 0;
        }
        return Math.min(LARGEST, perNanosecond * Math.min(TOLD_NANOSECONDS, now - server.reportedAt()));
    }
}
