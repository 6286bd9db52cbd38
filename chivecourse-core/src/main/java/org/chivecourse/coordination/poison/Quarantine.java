package org.chivecourse.coordination.poison;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/** The suspects of a service, of which one at a time runs alone at one backend server. */
public final class Quarantine {

    /** The largest number of suspects that wait. */
    private static final int MAXIMUM_WAITING_CALLS = 100;

    /** The rank from which a backend server is taken only if no other is left. */
    private static final int FAILED_SERVER_RANK = 1_000_000;

    /** The suspects that wait. */
    private final Deque<CallState> waiting = new ArrayDeque<>();

    /** The backend server that is kept free for a suspect, {@code null} if none is. */
    private ServerState reserved;

    /** The attempt of the suspect that runs, {@code null} if none does. */
    private AttemptState running;

    /**
     * Adds a suspect.
     *
     * @param call the call
     * @return {@code false} if too many suspects wait
     */
    public boolean offer(CallState call) {
        return waiting.size() < MAXIMUM_WAITING_CALLS && waiting.add(call);
    }

    /**
     * Returns the next suspect if its backend server is free for it, and reserves one otherwise.
     *
     * @param servers the backend servers of the service
     * @param poisonRequests what is known of suspects
     * @param now the time in nanoseconds
     * @return the call, whose backend server is {@link #reserved()}, or {@code null}
     */
    public CallState pollReady(List<ServerState> servers, PoisonRequests poisonRequests, long now) {
        if (running != null && running.ended()) {
            running = null;
            reserved = null;
        }
        waiting.removeIf(call -> call.phase() == CallPhase.FINISHED);
        if (waiting.isEmpty() || running != null) {
            reserved = running == null ? null : reserved;
            return null;
        }
        if (reserved == null || !usable(reserved, now)) {
            reserved = leastBusy(servers, waiting.peekFirst(), poisonRequests, now);
        }
        if (reserved == null || reserved.ownInFlight() > 0) {
            return null;
        }
        return waiting.removeFirst();
    }

    /**
     * Records that a suspect runs at the reserved backend server.
     *
     * @param attempt the attempt
     */
    public void recordStart(AttemptState attempt) {
        running = attempt;
    }

    /**
     * Returns the backend server with the fewest requests, preferring those that have not failed with the suspect.
     *
     * @param servers the backend servers of the service
     * @param call the call
     * @param poisonRequests what is known of suspects
     * @param now the time in nanoseconds
     * @return the backend server, or {@code null} if none takes requests
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

    /**
     * Returns the rank of a backend server for a suspect.
     *
     * @param server the backend server
     * @param call the call
     * @param poisonRequests what is known of suspects
     * @return the rank, the least is best
     */
    private static int rank(ServerState server, CallState call, PoisonRequests poisonRequests) {
        boolean failed = poisonRequests.failedAt(call.terms().fingerprint(), server.address());
        return server.ownInFlight() + (failed ? FAILED_SERVER_RANK : 0);
    }

    /**
     * Returns whether a backend server takes requests.
     *
     * @param server the backend server
     * @param now the time in nanoseconds
     * @return {@code true} if it neither leaves nor is ejected
     */
    private static boolean usable(ServerState server, long now) {
        return server.leavingCause() == LeavingCause.NONE && !server.ejected(now);
    }

    /**
     * Returns the backend server that is kept free for a suspect.
     *
     * @return the backend server, or {@code null} if none is
     */
    public ServerState reserved() {
        return reserved;
    }

    /**
     * Returns whether an attempt is that of the suspect that runs.
     *
     * @param attempt the attempt
     * @return {@code true} if it runs alone
     */
    public boolean runsAlone(AttemptState attempt) {
        return attempt == running;
    }
}
