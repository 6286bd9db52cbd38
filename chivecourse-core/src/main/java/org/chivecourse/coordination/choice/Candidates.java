package org.chivecourse.coordination.choice;

import java.util.List;
import java.util.function.Predicate;
import org.chivecourse.state.server.ServerState;

/** The backend servers of a service among which one is chosen, without allocation per choice. */
public final class Candidates {

    /** The backend servers that may be chosen, in the first {@code size} places. */
    private ServerState[] servers = new ServerState[16];

    /** The number of backend servers that may be chosen. */
    private int size;

    /** The time of the choice in nanoseconds. */
    private long now;

    /** The average number of other hosts' requests at the service's backend servers. */
    private double otherHostsAverageInFlight;

    /** The requests of other hosts that are not known yet. */
    private final UnreportedRequests unreported = new UnreportedRequests();

    /** The time that the request takes on a backend server that works as usual, in nanoseconds. */
    private double typicalNanoseconds;

    /**
     * Starts a choice without candidates.
     *
     * @param all the backend servers of the service
     * @param otherHostsAverage the average number of other hosts' requests at them
     * @param time the time of the choice in nanoseconds
     */
    public void begin(List<ServerState> all, double otherHostsAverage, long time) {
        if (servers.length < all.size()) {
            servers = new ServerState[all.size()];
        }
        size = 0;
        now = time;
        otherHostsAverageInFlight = otherHostsAverage;
        unreported.reset();
    }

    /**
     * Expects that other hosts send to backend servers that have room as far as is known.
     *
     * @param otherHostsRequestsPerNanosecond the requests of other hosts per nanosecond
     * @param all the backend servers of the service
     * @param hasRoom whether a backend server has room
     */
    public void expectUnreported(
            double otherHostsRequestsPerNanosecond, List<ServerState> all, Predicate<ServerState> hasRoom) {
        unreported.expect(otherHostsRequestsPerNanosecond, all, hasRoom);
    }

    /**
     * Collects the backend servers that may be chosen among some that follow each other.
     *
     * @param all the backend servers of the service
     * @param eligible whether a backend server may be chosen
     * @param start the place of the first, whose successors continue with the first of all after the last
     * @param count the number of backend servers to look at, at most all
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

    /**
     * Collects the backend servers that may be chosen among all.
     *
     * @param all the backend servers of the service
     * @param eligible whether a backend server may be chosen
     */
    public void collect(List<ServerState> all, Predicate<ServerState> eligible) {
        collect(all, eligible, 0, all.size());
    }

    /**
     * Starts a choice for a request of which the usual time is known.
     *
     * @param all the backend servers of the service
     * @param otherHostsAverage the average number of other hosts' requests at them
     * @param typical the time that the request takes on a backend server that works as usual, in nanoseconds
     * @param time the time of the choice in nanoseconds
     */
    public void begin(List<ServerState> all, double otherHostsAverage, double typical, long time) {
        begin(all, otherHostsAverage, time);
        typicalNanoseconds = typical;
    }

    /**
     * Returns the estimated time until a backend server answers.
     *
     * @param index the place of the backend server
     * @return the time in nanoseconds
     */
    double finishNanoseconds(int index) {
        return FinishEstimate.nanoseconds(
                servers[index], typicalNanoseconds, inFlightWithUnreported(servers[index]), now);
    }

    /**
     * Returns the estimated number of requests in flight, with the weight that suits frequent reports.
     *
     * @param server the backend server
     * @return the number of requests
     */
    public double inFlightWithUnreported(ServerState server) {
        return FinishEstimate.inFlight(server, otherHostsAverageInFlight, now) + unreported.expectedAt(server, now);
    }

    /**
     * Returns the estimated number of requests in flight at a backend server over all hosts.
     *
     * @param server the backend server
     * @return the number of requests
     */
    public double inFlight(ServerState server) {
        return ResponseTimeEstimate.inFlight(server, otherHostsAverageInFlight, now);
    }

    /**
     * Returns the estimated time that a request would take.
     *
     * @param index the place of a candidate, less than {@link #size()}
     * @return the time in nanoseconds
     */
    double responseNanoseconds(int index) {
        return ResponseTimeEstimate.nanoseconds(servers[index], otherHostsAverageInFlight, now);
    }

    /**
     * Returns the number of backend servers that may be chosen.
     *
     * @return the number
     */
    public int size() {
        return size;
    }

    /**
     * Returns a backend server.
     *
     * @param index the place, less than {@link #size()}
     * @return the backend server
     */
    public ServerState get(int index) {
        return servers[index];
    }
}
