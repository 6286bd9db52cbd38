package org.chivecourse.coordination.call;

import java.util.function.Function;
import java.util.function.Predicate;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.limit.ExpectedWait;
import org.chivecourse.coordination.limit.LimitedCapacity;
import org.chivecourse.coordination.limit.RestingServers;
import org.chivecourse.coordination.poison.PoisonRequests;
import org.chivecourse.coordination.reservation.Reservations;
import org.chivecourse.coordination.reservation.ReservedCalls;
import org.chivecourse.coordination.retry.RetryRule;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.server.ServerState;

/** Decides how a call without an open attempt continues: with an attempt, in the queue or with its final answer. */
final class CallContinuation implements ReservedCalls {

    /**
     * The factor by which the wait for a backend server with a request limit may be longer than expected, since other
     * hosts may take the next permits.
     */
    private static final int LIMITED_WAIT_MARGIN = 2;

    /** The services of the configuration in force. */
    private final ServiceRegistry services;

    /** Ends calls with the gateway's own answers. */
    private final FinalAnswers finalAnswers;

    /** Starts attempts. */
    private final AttemptLauncher launcher;

    /** The requests that are suspected or blocked because backend servers crashed while running them. */
    private final PoisonRequests poisonRequests;

    /** Decides how suspected calls continue. */
    private final SuspectedCalls suspectedCalls;

    /** The time that is left while the gateway stops. */
    private final GracefulStop stop;

    /** The slots that are reserved for calls. */
    private final Reservations reservations;

    /**
     * Creates a continuation.
     *
     * @param reservations creates the reservations of the calls that it is passed
     */
    CallContinuation(
            ServiceRegistry services,
            FinalAnswers finalAnswers,
            AttemptLauncher launcher,
            PoisonRequests poisonRequests,
            SuspectedCalls suspectedCalls,
            GracefulStop stop,
            Function<ReservedCalls, Reservations> reservations) {
        this.services = services;
        this.finalAnswers = finalAnswers;
        this.launcher = launcher;
        this.poisonRequests = poisonRequests;
        this.suspectedCalls = suspectedCalls;
        this.stop = stop;
        this.reservations = reservations.apply(this);
    }

    /** Returns the slots that are reserved for calls. */
    Reservations reservations() {
        return reservations;
    }

    /** Starts the first attempt of a call, queues it, or abandons it. */
    void start(CallState call, long now, DecisionSink sink) {
        ServiceState service = services.service(call.terms().service());
        if (service == null) {
            finalAnswers.abandon(call, Reason.NO_SERVICE, now, sink);
        } else {
            attemptOrQueue(service, call, now, sink);
        }
    }

    /** Requests a slot for a call where gateways allocate them, and continues it by this gateway's choice elsewhere. */
    void attemptOrQueue(ServiceState service, CallState call, long now, DecisionSink sink) {
        call.enterPhase(CallPhase.WAITING);
        boolean reserving = !call.terms().route().isEmpty()
                && !stop.stopping()
                && !service.evacuated()
                && !suspectedCalls.mustRunAlone(call, now)
                && !launcher.mustForward(service, call, now)
                && reservations.request(service, call, now, sink);
        if (!reserving) {
            attemptOrQueueUnreserved(service, call, now, sink);
        }
    }

    @Override
    public AttemptState launch(CallState call, ServerState server, long now, DecisionSink sink) {
        ServiceState service = services.service(call.terms().service());
        boolean possible = mayLaunch(service, call, now) && services.serviceOf(server.identity()) == service;
        return possible ? launcher.launchReserved(service, call, server, now, sink) : null;
    }

    @Override
    public AttemptState launchHedge(CallState call, ServerState server, long now, DecisionSink sink) {
        ServiceState service = services.service(call.terms().service());
        boolean known = service != null && services.serviceOf(server.identity()) == service;
        return known ? launcher.launchReservedHedge(service, call, server, now, sink) : null;
    }

    @Override
    public boolean launchLimited(CallState call, long now, DecisionSink sink) {
        ServiceState service = services.service(call.terms().service());
        return mayLaunch(service, call, now) && launcher.tryLaunchLimited(service, call, now, sink);
    }

    /**
     * Returns whether an attempt of a call that waits for a slot may start now.
     *
     * @param service the service, {@code null} if the configuration in force has none
     */
    private boolean mayLaunch(ServiceState service, CallState call, long now) {
        return service != null
                && call.phase() == CallPhase.WAITING
                && !suspectedCalls.mustRunAlone(call, now)
                && stop.leavesTimeFor(service.typicalNanoseconds(call), now);
    }

    @Override
    public boolean mayLeave(CallState call, long now) {
        ServiceState service = services.service(call.terms().service());
        boolean stays = service == null || call.phase() != CallPhase.WAITING;
        if (stays || NearbySelection.waitsForRoom(service, call, now)) {
            return false;
        }
        if (service.crossing() != null) {
            service.crossing().need(now);
        }
        return true;
    }

    @Override
    public void continueWithoutReservation(CallState call, long now, DecisionSink sink) {
        if (call.phase() != CallPhase.WAITING) {
            return;
        }
        ServiceState service = services.service(call.terms().service());
        if (service == null) {
            finalAnswers.abandon(call, Reason.NO_SERVICE, now, sink);
        } else {
            attemptOrQueueUnreserved(service, call, now, sink);
        }
    }

    @Override
    public void refuse(CallState call, Reason reason, long now, DecisionSink sink) {
        if (call.phase() == CallPhase.WAITING) {
            finalAnswers.abandon(call, reason, now, sink);
        }
    }

    /**
     * Starts an attempt of a call, queues it if it can still be answered before its deadline, or abandons it. A full
     * queue drops a less urgent call to make room.
     */
    private void attemptOrQueueUnreserved(ServiceState service, CallState call, long now, DecisionSink sink) {
        call.enterPhase(CallPhase.WAITING);
        if (!stop.leavesTimeFor(service.typicalNanoseconds(call), now)) {
            finalAnswers.abandon(call, Reason.STOPPING, now, sink);
            return;
        }
        if (service.evacuated()) {
            finalAnswers.abandon(call, Reason.EVACUATED, now, sink);
            return;
        }
        if (suspectedCalls.mustRunAlone(call, now)) {
            suspectedCalls.attemptOrQueue(service, call, now, sink);
            return;
        }
        boolean mayOvertake = service.waitingCalls().wouldBeFirst(call);
        if (mayOvertake && launcher.tryLaunch(service, call, now, sink)) {
            return;
        }
        if (!ServerSelector.hasServerInService(service)) {
            finalAnswers.abandon(call, Reason.NO_SERVER, now, sink);
            return;
        }
        Reason refusal = refusalReason(service, call, now);
        if (refusal != null) {
            finalAnswers.abandon(call, refusal, now, sink);
            return;
        }
        CallState displaced =
                service.waitingCalls().full() ? service.waitingCalls().displaceFor(call) : null;
        if (displaced != null) {
            finalAnswers.abandon(displaced, Reason.QUEUE_FULL, now, sink);
        }
        if (!service.waitingCalls().offer(call)) {
            finalAnswers.abandon(call, Reason.QUEUE_FULL, now, sink);
        }
    }

    /** Returns why a call that has to wait is refused, or {@code null} if it can still be answered in time. */
    private Reason refusalReason(ServiceState service, CallState call, long now) {
        long restNanoseconds = RestingServers.nanosecondsUntilFirst(service.serversInUse(), now);
        boolean enoughWait =
                service.waitingCalls().size() >= service.serversInUse().size();
        if (restNanoseconds > 0 && enoughWait || missesDeadlineAfterRest(service, call, restNanoseconds, now)) {
            return Reason.RESTING;
        }
        int ahead = service.waitingCalls().countAhead(call);
        LimitedCapacity limited = LimitedCapacity.of(service.serversInUse(), now);
        if (limited.everyServerLimited()) {
            long wait = LIMITED_WAIT_MARGIN * limitedWaitNanoseconds(service, call, ahead, limited, now);
            return service.missesDeadline(call, now + wait) ? Reason.LIMITED : null;
        }
        if (!endsBeforeStop(service, call, ahead, now)) {
            return Reason.STOPPING;
        }
        long waitNanoseconds = waitNanoseconds(service, call, ahead, now);
        return now + waitNanoseconds - call.terms().deadline() > 0 ? Reason.DEADLINE_UNREACHABLE : null;
    }

    /** Returns the expected time until a call that has to wait is sent, in nanoseconds. */
    private long waitNanoseconds(ServiceState service, CallState call, int ahead, long now) {
        return call.terms().route().isEmpty()
                ? ExpectedWait.nanoseconds(ahead, service.serversInUse())
                : ExpectedWait.nanosecondsInFleet(ahead, service.serversInUse(), services.hostCount(), now);
    }

    /**
     * Returns whether a call that has to wait can be begun and answered before this gateway closes its connections, if
     * it stops.
     *
     * @param ahead the number of calls that wait ahead of it
     */
    private boolean endsBeforeStop(ServiceState service, CallState call, int ahead, long now) {
        return !stop.stopping()
                || stop.leavesTimeFor(
                        waitNanoseconds(service, call, ahead, now) + service.typicalNanoseconds(call), now);
    }

    /**
     * Refuses the waiting calls that cannot be begun and answered before this gateway closes its connections. Does
     * nothing unless it stops.
     */
    void abandonBeyondStop(ServiceState service, long now, DecisionSink sink) {
        if (!stop.stopping()) {
            return;
        }
        int ahead = 0;
        for (CallState call : service.waitingCalls().inOrder()) {
            if (endsBeforeStop(service, call, ahead, now)) {
                ahead++;
            } else {
                finalAnswers.abandon(call, Reason.STOPPING, now, sink);
            }
        }
        Predicate<CallState> late = call -> !stop.leavesTimeFor(service.typicalNanoseconds(call), now);
        CallState suspected = service.quarantine().findFirst(late);
        while (suspected != null) {
            finalAnswers.abandon(suspected, Reason.STOPPING, now, sink);
            suspected = service.quarantine().findFirst(late);
        }
    }

    /**
     * Retries a call without open attempts if the retry is safe and within the budget, and abandons it otherwise. Does
     * nothing while another attempt is open.
     *
     * @param reason why the last attempt failed
     */
    void retryOrAbandon(CallState call, Reason reason, long now, DecisionSink sink) {
        if (call.openAttemptCount() > 0) {
            return;
        }
        if (acquireRetry(call, now)) {
            attemptOrQueue(services.service(call.terms().service()), call, now, sink);
            return;
        }
        finalAnswers.abandon(call, reason, now, sink);
    }

    /** Returns whether a call may be retried. Spends one retry of the service's budget if the rule counts it. */
    boolean acquireRetry(CallState call, long now) {
        ServiceState service = services.service(call.terms().service());
        boolean blocked = poisonRequests.refuses(call.terms().fingerprint(), now);
        if (service == null || blocked || !stop.leavesTimeFor(service.typicalNanoseconds(call), now)) {
            return false;
        }
        return RetryRule.INSTANCE.allows(call, service.retryBudget(), now);
    }

    /**
     * Abandons waiting calls whose request has become blocked, and decides again about those whose request has become
     * suspected or is no longer suspected.
     */
    void updateSuspected(ServiceState service, long now, DecisionSink sink) {
        suspectedCalls.abandonBlocked(service, now, sink);
        for (CallState call : suspectedCalls.removeMisplaced(service, now, sink)) {
            attemptOrQueue(service, call, now, sink);
        }
    }

    /** Abandons all waiting calls if the evacuations of data centres leave no backend server for them. */
    void abandonEvacuated(ServiceState service, long now, DecisionSink sink) {
        if (!service.evacuated()) {
            return;
        }
        CallState call = findWaiting(service, waiting -> true);
        while (call != null) {
            finalAnswers.abandon(call, Reason.EVACUATED, now, sink);
            call = findWaiting(service, waiting -> true);
        }
    }

    /**
     * Moves waiting calls that miss their target latency behind the others, and abandons those that have found no room
     * or can no longer be answered before their deadline.
     */
    void abandonLate(ServiceState service, long now, DecisionSink sink) {
        service.waitingCalls().demote(call -> service.missesTarget(call, now));
        abandonWithoutRoom(service, now, sink);
        CallState late = findLate(service, now);
        while (late != null) {
            finalAnswers.abandon(late, Reason.DEADLINE_UNREACHABLE, now, sink);
            late = findLate(service, now);
        }
    }

    /**
     * Abandons the waiting calls that have not been tried and miss their target latency. Their callers can come back at
     * a better time, while those that arrive meanwhile can still be answered within their target latency. Does nothing
     * while request limits or rests decide how long calls wait.
     */
    private void abandonWithoutRoom(ServiceState service, long now, DecisionSink sink) {
        if (service.waitingCalls().size() == 0
                || RestingServers.nanosecondsUntilFirst(service.serversInUse(), now) > 0
                || LimitedCapacity.of(service.serversInUse(), now).everyServerLimited()) {
            return;
        }
        Predicate<CallState> withoutRoom = call -> call.attempts().isEmpty() && service.missesTarget(call, now);
        CallState call = service.waitingCalls().findFirst(withoutRoom);
        while (call != null) {
            finalAnswers.abandon(call, Reason.NO_ROOM, now, sink);
            call = service.waitingCalls().findFirst(withoutRoom);
        }
    }

    /** Returns a waiting call that can no longer be answered before its deadline, or {@code null} if there is none. */
    private static CallState findLate(ServiceState service, long now) {
        return findWaiting(service, call -> service.missesDeadline(call, now));
    }

    /** Returns a waiting call that meets a condition, suspected ones first, or {@code null} if there is none. */
    private static CallState findWaiting(ServiceState service, Predicate<CallState> condition) {
        CallState suspected = service.quarantine().findFirst(condition);
        return suspected != null ? suspected : service.waitingCalls().findFirst(condition);
    }

    /** Abandons the calls that would wait too long for the end of a rest. Does nothing while a server takes calls. */
    void abandonBeyondRest(ServiceState service, long now, DecisionSink sink) {
        long restNanoseconds = RestingServers.nanosecondsUntilFirst(service.serversInUse(), now);
        if (restNanoseconds == 0) {
            return;
        }
        Predicate<CallState> late = waiting -> missesDeadlineAfterRest(service, waiting, restNanoseconds, now);
        CallState call = findWaiting(service, late);
        while (call != null) {
            finalAnswers.abandon(call, Reason.RESTING, now, sink);
            call = findWaiting(service, late);
        }
    }

    /** Returns the expected time until a call is sent while each backend server has a request limit. */
    private static long limitedWaitNanoseconds(
            ServiceState service, CallState call, int ahead, LimitedCapacity limited, long now) {
        return limited.waitNanoseconds(
                ahead, service.arrivalRates().aheadOf(call.terms().rank(), now));
    }

    /**
     * Abandons the waiting calls that the request limits of the backend servers leave no time for. Does nothing while a
     * backend server has no limit.
     */
    void abandonBeyondLimits(ServiceState service, long now, DecisionSink sink) {
        if (service.waitingCalls().size() == 0) {
            return;
        }
        LimitedCapacity limited = LimitedCapacity.of(service.serversInUse(), now);
        if (!limited.everyServerLimited()) {
            return;
        }
        int ahead = 0;
        for (CallState call : service.waitingCalls().inOrder()) {
            if (service.missesDeadline(call, now + limitedWaitNanoseconds(service, call, ahead, limited, now))) {
                finalAnswers.abandon(call, Reason.LIMITED, now, sink);
            } else {
                ahead++;
            }
        }
    }

    /**
     * Returns whether a call can no longer be answered before its deadline since all backend servers rest.
     *
     * @param restNanoseconds the time until the first of them may get a request, zero if one does not rest
     */
    private static boolean missesDeadlineAfterRest(
            ServiceState service, CallState call, long restNanoseconds, long now) {
        long at = now + restNanoseconds;
        return restNanoseconds > 0 && (at - call.terms().deadline() >= 0 || service.missesDeadline(call, at));
    }

    /** Starts attempts of the calls that wait for the same service as the given call. */
    void launchWaiting(CallState call, long now, DecisionSink sink) {
        ServiceState service = services.service(call.terms().service());
        if (service != null) {
            launcher.launchWaiting(service, now, sink);
        }
    }
}
