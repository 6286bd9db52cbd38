package org.chivecourse.state.server;

import java.util.List;

/** The sum of other hosts' requests at the backend servers of a service, kept up to date with each report. */
public final class ReportedTotal {

    /** The sum of requests. */
    private int requests;

    /** The number of backend servers. */
    private int servers;

    /**
     * Starts to track the given backend servers: recomputes the sum, which their later reports update.
     *
     * @param tracked the backend servers of the service
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
     * Adds to the sum.
     *
     * @param difference the number of requests, negative to subtract
     */
    void add(int difference) {
        requests += difference;
    }

    /** Returns the average number of other hosts' requests per backend server, zero if there are no backend servers. */
    public double averagePerServer() {
        return servers == 0 ? 0 : (double) requests / servers;
    }
}
