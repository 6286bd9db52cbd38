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
    private double othersOnAverage;

    /** The requests of other hosts that are not known yet. */
    private final UntoldRequests untold = new UntoldRequests();

    /** The time that the request takes on a backend server that works as usual, in nanoseconds. */
    private double usualNanoseconds;

    /**
     * Starts a choice without candidates.
     *
     * @param all the backend servers of the service
     * @param othersAverage the average number of other hosts' requests at them
     * @param time the time of the choice in nanoseconds
     */
    public void begin(List<ServerState> all, double othersAverage, long time) {
        if (servers.length < all.size()) {
            servers = new ServerState[all.size()];
        }
        size = 0;
        now = time;
        othersOnAverage = othersAverage;
        untold.none();
    }

    /**
     * Expects that other hosts send to backend servers that have room as far as is known.
     *
     * @param othersPerNanosecond the requests of other hosts per nanosecond
     * @param all the backend servers of the service
     * @param room whether a backend server has room
     */
    public void expect(double othersPerNanosecond, List<ServerState> all, Predicate<ServerState> room) {
        untold.expect(othersPerNanosecond, all, room);
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
            int place = start + offset;
            ServerState server = all.get(place < all.size() ? place : place - all.size());
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
     * @param othersAverage the average number of other hosts' requests at them
     * @param usual the time that the request takes on a backend server that works as usual, in nanoseconds
     * @param time the time of the choice in nanoseconds
     */
    public void begin(List<ServerState> all, double othersAverage, double usual, long time) {
        begin(all, othersAverage, time);
        usualNanoseconds = usual;
    }

    /**
     * Returns the estimated time until a backend server answers.
     *
     * @param index the place of the backend server
     * @return the time in nanoseconds
     */
    double finish(int index) {
        return FinishEstimate.nanoseconds(servers[index], usualNanoseconds, presentInFlight(servers[index]), now);
    }

    /**
     * Returns the estimated number of requests in flight, with the weight that suits frequent reports.
     *
     * @param server the backend server
     * @return the number of requests
     */
    public double presentInFlight(ServerState server) {
        return FinishEstimate.inFlight(server, othersOnAverage, now) + untold.at(server, now);
    }

    /**
     * Returns the estimated number of requests in flight at a backend server over all hosts.
     *
     * @param server the backend server
     * @return the number of requests
     */
    public double inFlight(ServerState server) {
        return WaitEstimate.inFlight(server, othersOnAverage, now);
    }

    /**
     * Returns the estimated time that a request would take.
     *
     * @param index the place of a candidate, less than {@link #size()}
     * @return the time in nanoseconds
     */
    double estimate(int index) {
        return WaitEstimate.nanoseconds(servers[index], othersOnAverage, now);
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
