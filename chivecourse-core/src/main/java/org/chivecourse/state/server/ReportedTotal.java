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
     * @param tracked the backend servers
     */
    public void track(List<ServerState> tracked) {
        requests = 0;
        servers = tracked.size();
        for (ServerState server : tracked) {
            requests += server.othersInFlight();
            server.contributeTo(this);
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
    public double averagePerServer() {
        return servers == 0 ? 0 : (double) requests / servers;
    }
}
