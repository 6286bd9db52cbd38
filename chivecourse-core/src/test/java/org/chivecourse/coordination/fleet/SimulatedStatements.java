package org.chivecourse.coordination.fleet;

import java.util.List;
import java.util.Map;

/** What backend servers of a simulation say of themselves in their answers, and what they got after that. */
final class SimulatedStatements {

    private final Map<String, SimulatedBackendServer> servers;

    SimulatedStatements(Map<String, SimulatedBackendServer> servers) {
        this.servers = servers;
    }

    /** Lets the answers of a backend server say that it leaves, or no longer say so. */
    void setLeaving(String identity, boolean leaving) {
        servers.get(identity).leaving = leaving;
    }

    /** Lets the answers of all backend servers say that they leave. */
    void setAllLeaving() {
        servers.values().forEach(server -> server.leaving = true);
    }

    /** Lets a backend server turn all requests away and ask for rest, or take requests again if zero. */
    void setRest(String identity, long milliseconds) {
        servers.get(identity).restMilliseconds = milliseconds;
    }

    /** Lets all backend servers turn all requests away and ask for rest, or take requests again if zero. */
    void setRestOfAll(long milliseconds) {
        servers.keySet().forEach(identity -> setRest(identity, milliseconds));
    }

    /** Returns the largest number of requests and probes that a gateway sent within a rest that it was asked for. */
    int largestCountInRest() {
        return servers.values().stream()
                .flatMap(server -> server.rests.stream())
                .mapToInt(rest -> rest.requests)
                .max()
                .orElse(0);
    }

    /** Returns the number of rests that backend servers asked for. */
    long countRests() {
        return servers.values().stream()
                .mapToLong(server -> server.rests.size())
                .sum();
    }

    /** Returns the largest number of requests that a backend server got within some time. */
    int largestBurst(String identity, long windowMilliseconds) {
        List<SimulatedBackendServer.Request> received = servers.get(identity).received;
        int largest = 0;
        for (int last = 0, first = 0; last < received.size(); last++) {
            while (received.get(last).at() - received.get(first).at() >= windowMilliseconds) {
                first++;
            }
            largest = Math.max(largest, last - first + 1);
        }
        return largest;
    }

    /** Returns the number of requests that came too late after the word that their backend server leaves. */
    int countRequestsAfterLeaving() {
        return servers.values().stream()
                .mapToInt(server -> server.requestsAfterLeaving)
                .sum();
    }

    /** Lets a backend server go down, or come back cold for a time. */
    void setDown(String identity, boolean down, long now, long coldMilliseconds) {
        servers.get(identity).down = down;
        if (!down) {
            turnCold(identity, now, coldMilliseconds);
        }
    }

    /** Lets a backend server be cold for a time. */
    void turnCold(String identity, long now, long milliseconds) {
        servers.get(identity).coldFrom = now;
        servers.get(identity).coldUntil = now + milliseconds;
    }

    /** Returns the largest number of requests within a second that a backend server got while it was cold. */
    int largestWhileCold() {
        return servers.values().stream()
                .mapToInt(server -> server.largestWhileCold)
                .max()
                .orElse(0);
    }

    /** Returns the number of gateways that have forwarded the word of a backend server that it leaves. */
    int countToldOfLeaving(String identity) {
        return servers.get(identity).toldLeavingAt.size();
    }

    /** Returns the number of requests that a backend server got since a time, from any gateway. */
    long countReceived(String identity, long since) {
        return servers.get(identity).received.stream()
                .filter(request -> request.at() > since)
                .count();
    }
}
