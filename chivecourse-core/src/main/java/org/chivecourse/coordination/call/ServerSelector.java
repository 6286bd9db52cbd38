package org.chivecourse.coordination.call;

import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.chivecourse.coordination.choice.Candidates;
import org.chivecourse.coordination.choice.ChoicePolicy;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/** Selects a backend server for an attempt among those that may take one. */
final class ServerSelector {

    /** The way to choose. */
    private final ChoicePolicy policy;

    /** The source of randomness. */
    private final RandomGenerator random;

    /** The backend server that is kept free for a suspect, {@code null} if none is. */
    private ServerState reserved;

    /** The candidates of the present choice. */
    private final Candidates candidates = new Candidates();

    /**
     * Creates a selector.
     *
     * @param policy the way to choose
     * @param random the source of randomness
     */
    ServerSelector(ChoicePolicy policy, RandomGenerator random) {
        this.policy = policy;
        this.random = random;
    }

    /**
     * Starts a choice.
     *
     * @param service the service
     * @param call the call
     * @param now the time in nanoseconds
     */
    void beginSelection(ServiceState service, CallState call, long now) {
        double typicalNanoseconds = service.workTimes()
                .nanoseconds(call.terms().route(), call.terms().targetLatencyNanoseconds());
        candidates.begin(service.servers(), service.reportedTotal().averagePerServer(), typicalNanoseconds, now);
        reserved = service.quarantine().reserved();
        candidates.expectUnreported(
                service.otherHostsRequestsPerNanosecond(now), service.servers(), server -> isAvailable(server, now));
    }

    /**
     * Selects a backend server that has an idle slot and that the call has not been tried on.
     *
     * @param service the service
     * @param call the call
     * @param now the time in nanoseconds
     * @return the backend server, or {@code null} if none has
     */
    ServerState selectIdle(ServiceState service, CallState call, long now) {
        beginSelection(service, call, now);
        collectSample(
                service,
                server -> isAvailable(server, now)
                        && !call.tried(server)
                        && policy.inFlight(server, candidates) < policy.maximumIdleInFlight(server));
        return candidates.size() == 0 ? null : policy.choose(candidates, service.nextSelection(), random);
    }

    /**
     * Collects candidates among some backend servers that start at a random place, or among all if none of them is
     * eligible.
     *
     * @param service the service
     * @param eligible whether a backend server may be chosen
     */
    private void collectSample(ServiceState service, Predicate<ServerState> eligible) {
        int serverCount = service.servers().size();
        if (serverCount > policy.maximumSampleSize()) {
            candidates.collect(service.servers(), eligible, random.nextInt(serverCount), policy.maximumSampleSize());
        }
        if (candidates.size() == 0) {
            candidates.collect(service.servers(), eligible);
        }
    }

    /**
     * Selects a backend server, preferring those that the call has not been tried on.
     *
     * @param service the service
     * @param call the call
     * @param now the time in nanoseconds
     * @return the backend server, or {@code null} if none may take the call now
     */
    ServerState select(ServiceState service, CallState call, long now) {
        beginSelection(service, call, now);
        if (!call.attempts().isEmpty()) {
            collectSample(service, server -> isAvailable(server, now) && !call.tried(server));
        }
        if (candidates.size() == 0) {
            collectSample(service, server -> isAvailable(server, now));
        }
        if (candidates.size() == 0) {
            candidates.collect(service.servers(), this::isAvailableIgnoringEjection);
        }
        if (candidates.size() == 0) {
            return null;
        }
        return policy.choose(candidates, service.nextSelection(), random);
    }

    /**
     * Returns the estimated number of requests in flight at a backend server that was just selected.
     *
     * @param server the backend server
     * @return the number of requests, one to come included
     */
    double inFlight(ServerState server) {
        return policy.inFlight(server, candidates) + 1;
    }

    /**
     * Returns the number of backend servers that were weighed in the last selection.
     *
     * @return the number
     */
    int candidateCount() {
        return candidates.size();
    }

    /**
     * Returns whether a service has a backend server that is not leaving.
     *
     * @param service the service
     * @return {@code true} if waiting makes sense
     */
    static boolean hasServerInService(ServiceState service) {
        for (ServerState server : service.servers()) {
            if (server.leavingCause() == LeavingCause.NONE) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether a backend server may take a request now.
     *
     * @param server the backend server
     * @param now the time in nanoseconds
     * @return {@code true} if it is neither leaving nor ejected nor full
     */
    private boolean isAvailable(ServerState server, long now) {
        return isAvailableIgnoringEjection(server)
                && !server.ejected(now)
                && !server.condition().isUnreachable(now);
    }

    /**
     * Returns whether a backend server may take a request if its ejection is disregarded.
     *
     * @param server the backend server
     * @return {@code true} if it is neither leaving nor full
     */
    private boolean isAvailableIgnoringEjection(ServerState server) {
        return server != reserved && server.leavingCause() == LeavingCause.NONE && policy.admits(server, candidates);
    }
}
