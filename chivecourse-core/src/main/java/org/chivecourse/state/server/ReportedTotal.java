package org.chivecourse.state.server;

import java.util.List;

/** The sum of other hosts' requests over the last reports of a service's backend servers. */
public final class ReportedTotal {

    /** The sum of requests. */
    private int requests;

    /** The number of backend servers. */
    private int servers;

    /**
     * Takes the backend servers of a service, whose later reports change the sum.
     *
     * @param all the backend servers
     */
    public void of(List<ServerState> all) {
        requests = 0;
        servers = all.size();
        for (ServerState server : all) {
            requests += server.othersInFlight();
            server.countIn(this);
        }
    }

    /**
     * Changes the sum.
     *
     * @param difference the number of requests to add
     */
    void add(int difference) {
        requests += difference;
    }

    /**
     * Returns the average number of other hosts' requests at a backend server.
     *
     * @return the average, zero without backend servers
     */
    public double average() {
        return servers == 0 ? 0 : (double) requests / servers;
    }
}
