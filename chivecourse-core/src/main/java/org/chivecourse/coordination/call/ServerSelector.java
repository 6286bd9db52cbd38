package org.chivecourse.coordination.call;

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
     * Selects a backend server, preferring those that the call has not been tried on.
     *
     * @param service the service
     * @param call the call
     * @param now the time in nanoseconds
     * @return the backend server, or {@code null} if none may take the call now
     */
    ServerState select(ServiceState service, CallState call, long now) {
        boolean again = !call.attempts().isEmpty();
        if (again) {
            candidates.collect(service.servers(), server -> free(server, now) && !call.tried(server), now);
        }
        if (!again || candidates.size() == 0) {
            candidates.collect(service.servers(), server -> free(server, now), now);
        }
        if (candidates.size() == 0) {
            candidates.collect(service.servers(), ServerSelector::unlessEjected, now);
        }
        if (candidates.size() == 0) {
            return null;
        }
        return policy.choose(candidates, service.nextTurn(), random);
    }

    /**
     * Returns whether a service has a backend server that is not leaving.
     *
     * @param service the service
     * @return {@code true} if waiting makes sense
     */
    static boolean anyStaying(ServiceState service) {
        for (ServerState server : service.servers()) {
            if (server.leaving() == LeavingCause.NONE) {
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
    private static boolean free(ServerState server, long now) {
        return unlessEjected(server) && !server.ejected(now);
    }

    /**
     * Returns whether a backend server may take a request if its ejection is disregarded.
     *
     * @param server the backend server
     * @return {@code true} if it is neither leaving nor full
     */
    private static boolean unlessEjected(ServerState server) {
        return server.leaving() == LeavingCause.NONE
                && server.ownInFlight() < server.server().slots();
    }
}
