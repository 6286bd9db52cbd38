package org.chivecourse.coordination.call;

import java.util.List;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.chivecourse.coordination.choice.Candidates;
import org.chivecourse.coordination.choice.ChoicePolicy;
import org.chivecourse.coordination.reservation.ServerChooser;
import org.chivecourse.coordination.reservation.ServerGroups;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/** Selects the backend server of an attempt among those that may take a request. */
final class ServerSelector implements ServerChooser {

    /** The policy that picks one of the candidates. */
    private final ChoicePolicy policy;

    /** The source of randomness. */
    private final RandomGenerator random;

    /** The backend server that is reserved for a suspected call, {@code null} if there is none. */
    private ServerState reserved;

    /** The candidates of the current selection; reused to avoid an allocation per selection. */
    private final Candidates candidates = new Candidates();

    /** Keeps calls in their data centre, if the settings ask for it. */
    private final NearbySelection nearby = new NearbySelection(candidates);

    /** Creates a selector. */
    ServerSelector(ChoicePolicy policy, RandomGenerator random) {
        this.policy = policy;
        this.random = random;
    }

    /** Resets the candidates and updates the estimates that the current selection uses. */
    void beginSelection(ServiceState service, CallState call, long now) {
        double typicalNanoseconds = service.workTimes()
                .nanoseconds(call.terms().route(), call.terms().targetLatencyNanoseconds());
        candidates.begin(service.serversInUse(), service.reportedTotal().averagePerServer(), typicalNanoseconds, now);
        if (call.attempts().isEmpty() && service.missesTarget(call, now)) {
            candidates.leaveRoom();
        }
        reserved = service.quarantine().reserved();
        candidates.expectUnreported(
                service.otherHostsRequestsPerNanosecond(now),
                service.serversInUse(),
                server -> isAvailable(server, now));
    }

    /**
     * Selects a backend server that is idle enough for a hedge and that the call has not been tried on. Returns {@code
     * null} if there is none or this host's links are lost.
     */
    ServerState selectIdle(ServiceState service, CallState call, long now) {
        if (service.links().lost()) {
            return null;
        }
        beginSelection(service, call, now);
        Predicate<ServerState> idle = server -> isAvailable(server, now)
                && !call.hasTried(server)
                && policy.inFlight(server, candidates) < policy.maximumIdleInFlight(server);
        if (!nearby.applies(service, now)) {
            return chooseAmong(service, idle);
        }
        return nearby.chooseIdle(service, call, place -> chooseAmong(service, idle.and(place)), now);
    }

    /**
     * Collects candidates from a sample of the backend servers that starts at a random index, or from all of them if
     * the sample contains no eligible one.
     */
    private void collectSample(ServiceState service, Predicate<ServerState> eligible) {
        int serverCount = service.serversInUse().size();
        if (serverCount > policy.maximumSampleSize()) {
            candidates.collect(
                    service.serversInUse(), eligible, random.nextInt(serverCount), policy.maximumSampleSize());
        }
        if (candidates.size() == 0) {
            candidates.collect(service.serversInUse(), eligible);
        }
    }

    /**
     * Selects a backend server, preferring those that the call has not been tried on. If every backend server is
     * ejected or unreachable, one of them is selected nevertheless. Returns {@code null} if none may take the call now.
     */
    ServerState select(ServiceState service, CallState call, long now) {
        beginSelection(service, call, now);
        if (nearby.applies(service, now)) {
            Predicate<ServerState> available = server -> isAvailable(server, now);
            Predicate<ServerState> untried = available.and(server -> !call.hasTried(server));
            ServerState chosen = nearby.choose(service, call, place -> chooseAmong(service, untried.and(place)), now);
            return chosen != null || call.attempts().isEmpty()
                    ? chosen
                    : nearby.choose(service, call, place -> chooseAmong(service, available.and(place)), now);
        }
        ServerState available = chooseAvailable(service, call, now);
        if (available != null) {
            return available;
        }
        candidates.collect(service.serversInUse(), server -> isAvailableIgnoringEjection(server, now));
        return candidates.size() == 0 ? null : policy.choose(candidates, service.nextSelection(), random);
    }

    /**
     * Chooses among backend servers that get only the requests that this gateway places, so that none that are not
     * reported yet are to be expected. If this gateway reaches none of them, others may.
     */
    @Override
    public ServerState choose(
            ServiceState service, List<ServerState> members, CallState call, List<String> tried, long now) {
        double typicalNanoseconds = service.typicalNanoseconds(call);
        candidates.begin(service.serversInUse(), service.reportedTotal().averagePerServer(), typicalNanoseconds, now);
        if (tried.isEmpty() && service.missesTarget(call, now)) {
            candidates.leaveRoom();
        }
        reserved = service.quarantine().reserved();
        Predicate<ServerState> available = server -> !ServerGroups.limited(server, now) && isAvailable(server, now);
        candidates.collect(members, available.and(server -> !tried.contains(server.identity())));
        if (candidates.size() == 0 && !tried.isEmpty()) {
            candidates.collect(members, available);
        }
        if (members.stream()
                .allMatch(server -> server.ejected(now) || server.condition().isUnreachable(now))) {
            candidates.collect(
                    members, server -> !ServerGroups.limited(server, now) && isAvailableIgnoringEjection(server, now));
        }
        return candidates.size() == 0 ? null : policy.choose(candidates, service.nextSelection(), random);
    }

    /**
     * Selects a backend server of this data centre that limits what each gateway may send and that the call has not
     * been tried on. Returns {@code null} if this gateway may not send to any.
     */
    ServerState selectLimited(ServiceState service, CallState call, long now) {
        beginSelection(service, call, now);
        return chooseAmong(
                service,
                server -> server.local()
                        && ServerGroups.limited(server, now)
                        && !call.hasTried(server)
                        && isAvailable(server, now));
    }

    /** Returns whether a backend server may be sent a request for which another gateway reserved one of its slots. */
    boolean mayUse(ServiceState service, ServerState server, long now) {
        return server != service.quarantine().reserved()
                && takesRequests(server, now)
                && !server.condition().isUnreachable(now)
                && service.serversInUse().contains(server);
    }

    /** Chooses an available backend server, preferring those that the call has not been tried on. */
    private ServerState chooseAvailable(ServiceState service, CallState call, long now) {
        Predicate<ServerState> available = server -> isAvailable(server, now);
        ServerState untried = call.attempts().isEmpty()
                ? null
                : chooseAmong(service, available.and(server -> !call.hasTried(server)));
        return untried == null ? chooseAmong(service, available) : untried;
    }

    /** Chooses among the eligible backend servers, and returns {@code null} if there are none. */
    private ServerState chooseAmong(ServiceState service, Predicate<ServerState> eligible) {
        candidates.clear();
        collectSample(service, eligible);
        return candidates.size() == 0 ? null : policy.choose(candidates, service.nextSelection(), random);
    }

    /**
     * Returns the estimated number of requests in flight at a backend server that was just selected, the new one
     * included.
     */
    double inFlight(ServerState server) {
        return policy.inFlight(server, candidates) + 1;
    }

    /** Returns the number of candidates in the last selection. */
    int candidateCount() {
        return candidates.size();
    }

    /** Returns whether a service has a backend server in use that is not leaving, so that a call may wait for it. */
    static boolean hasServerInService(ServiceState service) {
        return hasInService(service.serversInUse());
    }

    /** Returns whether one of some backend servers is not leaving. */
    static boolean hasInService(List<ServerState> servers) {
        for (ServerState server : servers) {
            if (server.leavingCause() == LeavingCause.NONE) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether a backend server may take a request now: it is in service, not reserved, not full, within its
     * request limit and warm-up, not resting, not ejected and not known to be unreachable.
     */
    private boolean isAvailable(ServerState server, long now) {
        return isAvailableIgnoringEjection(server, now)
                && !server.ejected(now)
                && !server.condition().isUnreachable(now);
    }

    /**
     * Returns whether a backend server is in service, not reserved, not full, within its request limit and warm-up and
     * not resting, even if it is ejected or unreachable.
     */
    private boolean isAvailableIgnoringEjection(ServerState server, long now) {
        return server != reserved && takesRequests(server, now) && policy.admits(server, candidates);
    }

    /** Returns whether a backend server is in service, within its request limit and warm-up, and not resting. */
    private static boolean takesRequests(ServerState server, long now) {
        return server.leavingCause() == LeavingCause.NONE
                && server.allowance().permits(now)
                && server.warmUp().permits(now)
                && server.rest().permits(server.ownInFlight(), now);
    }
}
