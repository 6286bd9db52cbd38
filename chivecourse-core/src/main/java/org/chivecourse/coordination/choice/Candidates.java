package org.chivecourse.coordination.choice;

import java.util.List;
import java.util.function.Predicate;
import org.chivecourse.state.server.ServerState;

/**
 * The backend servers among which one selection chooses. One instance serves many selections, to avoid an allocation
 * for each.
 */
public final class Candidates {

    /** The candidates, in the first {@code size} elements. */
    private ServerState[] servers = new ServerState[16];

    /** The number of candidates. */
    private int size;

    /** The time of the selection in nanoseconds. */
    private long now;

    /** The average number of requests of other hosts in flight at a backend server of the service. */
    private double otherHostsAverageInFlight;

    /** The number of requests that a backend server must have room for beyond the one that is sent. */
    private int roomToLeave;

    /** Estimates the requests of other hosts that no report includes yet. */
    private final UnreportedRequests unreported = new UnreportedRequests();

    /** The time that the request takes on a backend server of typical speed, in nanoseconds. */
    private double typicalNanoseconds;

    /**
     * Starts a selection without candidates.
     *
     * @param all the backend servers of the service
     * @param otherHostsAverage the average number of requests of other hosts in flight at each of them
     */
    public void begin(List<ServerState> all, double otherHostsAverage, long time) {
        if (servers.length < all.size()) {
            servers = new ServerState[all.size()];
        }
        size = 0;
        now = time;
        otherHostsAverageInFlight = otherHostsAverage;
        roomToLeave = 0;
        unreported.reset();
    }

    /**
     * Estimates the requests that other hosts have sent but not yet reported. They are expected at the backend servers
     * that have room as far as is known.
     */
    public void expectUnreported(
            double otherHostsRequestsPerNanosecond, List<ServerState> all, Predicate<ServerState> hasRoom) {
        unreported.expect(otherHostsRequestsPerNanosecond, all, hasRoom);
    }

    /**
     * Replaces the candidates by the eligible ones of a run of backend servers.
     *
     * @param start the index of the first; the run continues at index zero after the last
     * @param count the number of backend servers to test, at most all
     */
    public void collect(List<ServerState> all, Predicate<ServerState> eligible, int start, int count) {
        size = 0;
        for (int offset = 0; offset < count; offset++) {
            int index = start + offset;
            ServerState server = all.get(index < all.size() ? index : index - all.size());
            if (eligible.test(server)) {
                servers[size++] = server;
            }
        }
    }

    /** Removes all candidates. */
    public void clear() {
        size = 0;
    }

    /** Replaces the candidates by all eligible backend servers. */
    public void collect(List<ServerState> all, Predicate<ServerState> eligible) {
        collect(all, eligible, 0, all.size());
    }

    /**
     * Starts a selection for a request whose typical time is known.
     *
     * @param all the backend servers of the service
     * @param otherHostsAverage the average number of requests of other hosts in flight at each of them
     * @param typical the time that the request takes on a backend server of typical speed, in nanoseconds
     */
    public void begin(List<ServerState> all, double otherHostsAverage, double typical, long time) {
        begin(all, otherHostsAverage, time);
        typicalNanoseconds = typical;
    }

    /** Selects only among backend servers that have room for one more request, which a more urgent one may need. */
    public void leaveRoom() {
        roomToLeave = 1;
    }

    /** Returns the number of requests that a backend server must have room for beyond the one that is sent. */
    int roomToLeave() {
        return roomToLeave;
    }

    /**
     * Returns the estimated time until a candidate answers, in nanoseconds.
     *
     * @param index the index of the candidate, less than {@link #size()}
     */
    double finishNanoseconds(int index) {
        return finishNanoseconds(servers[index]);
    }

    /** Returns the estimated time until a backend server answers, in nanoseconds. */
    public double finishNanoseconds(ServerState server) {
        return FinishEstimate.nanoseconds(server, typicalNanoseconds, inFlightWithUnreported(server), now);
    }

    /**
     * Returns the estimated number of requests in flight over all hosts, including those not yet reported. Old reports
     * lose their weight at the rate that suits frequent reports.
     */
    public double inFlightWithUnreported(ServerState server) {
        return FinishEstimate.inFlight(server, otherHostsAverageInFlight, now) + unreported.expectedAt(server, now);
    }

    /**
     * Returns the estimated number of requests in flight at a backend server over all hosts, without those not yet
     * reported.
     */
    public double inFlight(ServerState server) {
        return ResponseTimeEstimate.inFlight(server, otherHostsAverageInFlight, now);
    }

    /**
     * Returns the estimated response time of a candidate in nanoseconds.
     *
     * @param index the index of the candidate, less than {@link #size()}
     */
    double responseNanoseconds(int index) {
        return ResponseTimeEstimate.nanoseconds(servers[index], otherHostsAverageInFlight, now);
    }

    /** Returns the number of candidates. */
    public int size() {
        return size;
    }

    /**
     * Returns a candidate.
     *
     * @param index the index of the candidate, less than {@link #size()}
     */
    public ServerState get(int index) {
        return servers[index];
    }
}
