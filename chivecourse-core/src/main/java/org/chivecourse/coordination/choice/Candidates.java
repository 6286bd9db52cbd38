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

    /**
     * Starts a choice without candidates.
     *
     * @param all the backend servers of the service
     * @param time the time of the choice in nanoseconds
     */
    public void begin(List<ServerState> all, long time) {
        if (servers.length < all.size()) {
            servers = new ServerState[all.size()];
        }
        now = time;
        int others = 0;
        for (int index = 0; index < all.size(); index++) {
            others += all.get(index).othersInFlight();
        }
        othersOnAverage = all.isEmpty() ? 0 : (double) others / all.size();
        size = 0;
    }

    /**
     * Collects the backend servers that may be chosen.
     *
     * @param all the backend servers of the service
     * @param eligible whether a backend server may be chosen
     */
    public void collect(List<ServerState> all, Predicate<ServerState> eligible) {
        size = 0;
        for (int index = 0; index < all.size(); index++) {
            ServerState server = all.get(index);
            if (eligible.test(server)) {
                servers[size++] = server;
            }
        }
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
