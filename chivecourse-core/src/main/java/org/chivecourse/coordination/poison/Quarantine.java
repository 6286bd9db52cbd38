package org.chivecourse.coordination.poison;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/** The suspected calls of a service. They run one at a time, each alone at a backend server that is reserved for it. */
public final class Quarantine {

    /** The maximum number of suspected calls that wait. */
    private static final int MAXIMUM_WAITING_CALLS = 100;

    /**
     * The addition to the rank of a backend server that has failed with the call. It exceeds any number of requests in
     * flight, so that such a backend server is chosen only if there is no other.
     */
    private static final int FAILED_SERVER_RANK = 1_000_000;

    /** The suspected calls that wait, in the order of their arrival. */
    private final Deque<CallState> waiting = new ArrayDeque<>();

    /** The backend server that is reserved for a suspected call, {@code null} if there is none. */
    private ServerState reserved;

    /** The attempt of the suspected call that runs, {@code null} if none does. */
    private AttemptState running;

    /** Adds a suspected call and returns {@code true}, or returns {@code false} if too many wait. */
    public boolean offer(CallState call) {
        return waiting.size() < MAXIMUM_WAITING_CALLS && waiting.add(call);
    }

    /**
     * Removes and returns the next suspected call if its reserved backend server has no other request of this host.
     * Otherwise reserves one and returns {@code null}. The reserved backend server is available from {@link
     * #reserved()}. Calls whose request another copy tries are passed over.
     */
    public CallState pollReady(List<ServerState> servers, PoisonRequests poisonRequests, long now) {
        if (running != null && running.ended()) {
            running = null;
            reserved = null;
        }
        waiting.removeIf(call -> call.phase() == CallPhase.FINISHED);
        CallState next =
                findFirst(call -> poisonRequests.mayBeginTrial(call.terms().fingerprint()));
        if (next == null || running != null) {
            reserved = running == null ? null : reserved;
            return null;
        }
        if (reserved == null || !servers.contains(reserved) || !usable(reserved, now)) {
            reserved = leastBusy(servers, next, poisonRequests, now);
        }
        if (reserved == null || reserved.ownInFlight() > 0) {
            return null;
        }
        waiting.remove(next);
        return next;
    }

    /** Returns the suspected calls that wait, in the order of their arrival. */
    public List<CallState> waiting() {
        return List.copyOf(waiting);
    }

    /** Removes a call if it waits. */
    public void remove(CallState call) {
        waiting.remove(call);
    }

    /** Records that a suspected call runs at the reserved backend server. */
    public void recordStart(AttemptState attempt) {
        running = attempt;
    }

    /**
     * Returns the backend server with the fewest requests of this host, preferring those that have not failed with the
     * call, or {@code null} if none is usable.
     */
    private static ServerState leastBusy(
            List<ServerState> servers, CallState call, PoisonRequests poisonRequests, long now) {
        ServerState best = null;
        for (ServerState server : servers) {
            if (!usable(server, now)) {
                continue;
            }
            if (best == null || rank(server, call, poisonRequests) < rank(best, call, poisonRequests)) {
                best = server;
            }
        }
        return best;
    }

    /** Returns the rank of a backend server for a suspected call; the lowest is best. */
    private static int rank(ServerState server, CallState call, PoisonRequests poisonRequests) {
        boolean failed = poisonRequests.failedAt(call.terms().fingerprint(), server.processName());
        return server.ownInFlight() + (failed ? FAILED_SERVER_RANK : 0);
    }

    /** Returns whether a backend server is in service, may get a request now, is not ejected and not unreachable. */
    private static boolean usable(ServerState server, long now) {
        return server.leavingCause() == LeavingCause.NONE
                && server.allowance().permits(now)
                && server.warmUp().permits(now)
                && server.rest().permits(server.ownInFlight(), now)
                && !server.ejected(now)
                && !server.condition().isUnreachable(now);
    }

    /** Returns the first waiting call that meets a condition, or {@code null} if none does. */
    public CallState findFirst(Predicate<CallState> condition) {
        return waiting.stream()
                .filter(call -> call.phase() == CallPhase.WAITING && condition.test(call))
                .findFirst()
                .orElse(null);
    }

    /** Returns the backend server that is reserved for a suspected call, or {@code null} if there is none. */
    public ServerState reserved() {
        return reserved;
    }

    /** Returns whether the attempt is that of the suspected call that runs. */
    public boolean runsAlone(AttemptState attempt) {
        return attempt == running;
    }
}
