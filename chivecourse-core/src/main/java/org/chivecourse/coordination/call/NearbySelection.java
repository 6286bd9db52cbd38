package org.chivecourse.coordination.call;

import java.util.function.Function;
import java.util.function.Predicate;
import org.chivecourse.coordination.choice.Candidates;
import org.chivecourse.coordination.crossing.LeavingRule;
import org.chivecourse.coordination.crossing.RoomSummary;
import org.chivecourse.coordination.crossing.ServiceCrossing;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.server.ServerState;

/** Selects backend servers of this data centre, and others only for calls that would miss their target latency here. */
final class NearbySelection {

    /** Estimates when backend servers answer. */
    private final Candidates candidates;

    /** Creates a selection that uses the estimates of the current candidates. */
    NearbySelection(Candidates candidates) {
        this.candidates = candidates;
    }

    /**
     * Returns whether the settings ask to keep calls in their data centre and it has a backend server of the service
     * that answers. Otherwise loads elsewhere are needed.
     */
    boolean applies(ServiceState service, long now) {
        ServiceCrossing crossing = service.crossing();
        if (crossing == null) {
            return false;
        }
        for (ServerState server : service.serversInUse()) {
            if (server.local() && RoomSummary.answers(server, now)) {
                return true;
            }
        }
        crossing.need(now);
        return false;
    }

    /** Returns whether a call that has not been tried waits for room in its data centre before it may leave. */
    static boolean waitsForRoom(ServiceState service, CallState call, long now) {
        ServiceCrossing crossing = service.crossing();
        return crossing != null
                && call.attempts().isEmpty()
                && now - call.terms().firstSentAt() < crossing.patienceNanoseconds();
    }

    /**
     * Chooses a backend server for a call, or returns {@code null} if none may take it now.
     *
     * @param chooser chooses an available backend server of a place, {@code null} if there is none
     */
    ServerState choose(
            ServiceState service, CallState call, Function<Predicate<ServerState>, ServerState> chooser, long now) {
        ServiceCrossing crossing = service.crossing();
        ServerState local = chooser.apply(ServerState::local);
        double localNanoseconds = finishNanoseconds(local);
        double toTarget = nanosecondsToTarget(call, now);
        long waited = now - call.terms().firstSentAt();
        double work = service.workTimes()
                .nanoseconds(call.terms().route(), call.terms().targetLatencyNanoseconds());
        long patience = call.attempts().isEmpty() ? crossing.patienceNanoseconds() : 0;
        if (LeavingRule.INSTANCE.stays(localNanoseconds, toTarget, work, waited, patience)) {
            return local;
        }
        if (local == null) {
            crossing.need(now);
        }
        ServerState remote = chooser.apply(server -> !server.local() && crossing.takes(server, now));
        if (remote != null && LeavingRule.INSTANCE.leaves(localNanoseconds, finishNanoseconds(remote), toTarget)) {
            crossing.need(now);
            crossing.recordRequest(remote);
            return remote;
        }
        return local;
    }

    /**
     * Chooses an idle backend server for a hedge, elsewhere only if none in this data centre surely makes the target
     * latency.
     *
     * @param chooser chooses an idle backend server of a place, {@code null} if there is none
     */
    ServerState chooseIdle(
            ServiceState service, CallState call, Function<Predicate<ServerState>, ServerState> chooser, long now) {
        ServerState local = chooser.apply(ServerState::local);
        double localNanoseconds = finishNanoseconds(local);
        double toTarget = nanosecondsToTarget(call, now);
        if (LeavingRule.INSTANCE.stays(localNanoseconds, toTarget, 0, 0, 0)) {
            return local;
        }
        ServerState remote =
                chooser.apply(server -> !server.local() && service.crossing().takes(server, now));
        boolean leaves =
                remote != null && LeavingRule.INSTANCE.leaves(localNanoseconds, finishNanoseconds(remote), toTarget);
        return leaves ? remote : local;
    }

    /** Returns the estimated time until an answer, {@link LeavingRule#NO_ROOM} without a backend server. */
    private double finishNanoseconds(ServerState server) {
        return server == null ? LeavingRule.NO_ROOM : candidates.finishNanoseconds(server);
    }

    /** Returns the time until the target latency of a call; without one no time is too long. */
    private static double nanosecondsToTarget(CallState call, long now) {
        return call.terms().route().isEmpty()
                ? Double.MAX_VALUE
                : call.terms().firstSentAt() + call.terms().targetLatencyNanoseconds() - now;
    }
}
