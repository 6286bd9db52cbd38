package org.chivecourse.coordination.call;

import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.limit.ExpectedWait;
import org.chivecourse.coordination.poison.PoisonRequests;
import org.chivecourse.coordination.retry.RetryRule;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallState;

/** Decides what happens next to a call that has no attempt under way: an attempt, a wait, or its final answer. */
final class CallContinuation {

    /** The number of failed backend servers from which on a request is confined where connections often break. */
    private static final int MINIMUM_FAILED_SERVERS_TO_ISOLATE = 2;

    /** The services of the configuration in force. */
    private final ServiceRegister services;

    /** Gives final answers. */
    private final FinalAnswers finalAnswers;

    /** Starts attempts. */
    private final AttemptLauncher launcher;

    /** The requests that crash backend servers. */
    private final PoisonRequests poisonRequests;

    /**
     * Creates a continuation.
     *
     * @param services the services of the configuration in force
     * @param finalAnswers gives final answers
     * @param launcher starts attempts
     * @param poisonRequests the requests that crash backend servers
     */
    CallContinuation(
            ServiceRegister services,
            FinalAnswers finalAnswers,
            AttemptLauncher launcher,
            PoisonRequests poisonRequests) {
        this.services = services;
        this.finalAnswers = finalAnswers;
        this.launcher = launcher;
        this.poisonRequests = poisonRequests;
    }

    /**
     * Starts the first attempt of a call, or lets it wait, or gives it up.
     *
     * @param call the call
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    void start(CallState call, long now, DecisionSink sink) {
        ServiceState service = services.service(call.terms().service());
        if (service == null) {
            finalAnswers.abandon(call, Reason.NO_SERVICE, now, sink);
        } else {
            attemptOrQueue(service, call, now, sink);
        }
    }

    /**
     * Starts an attempt of a call, or lets it wait if waiting makes sense, or gives it up.
     *
     * @param service the service
     * @param call the call
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    void attemptOrQueue(ServiceState service, CallState call, long now, DecisionSink sink) {
        call.enterPhase(CallPhase.WAITING);
        if (mustRunAlone(call, now)) {
            if (!service.quarantine().offer(call)) {
                finalAnswers.abandon(call, Reason.QUEUE_FULL, now, sink);
            }
            launcher.launchWaiting(service, now, sink);
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
        int ahead = service.waitingCalls().countAhead(call);
        long waitNanoseconds = call.terms().route().isEmpty()
                ? ExpectedWait.nanoseconds(ahead, service.servers())
                : ExpectedWait.nanosecondsInFleet(ahead, service.servers(), services.hostCount());
        if (now + waitNanoseconds - call.terms().deadline() > 0) {
            finalAnswers.abandon(call, Reason.DEADLINE_UNREACHABLE, now, sink);
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

    /**
     * Returns whether a call runs alone on its backend server, since it may crash it.
     *
     * @param call the call
     * @param now the time in nanoseconds
     * @return {@code true} if it is suspected
     */
    private boolean mustRunAlone(CallState call, long now) {
        long fingerprint = call.terms().fingerprint();
        int minimumServers = call.terms().route().isEmpty() ? 1 : MINIMUM_FAILED_SERVERS_TO_ISOLATE;
        return poisonRequests.suspected(fingerprint, now)
                && poisonRequests.failedServerCount(fingerprint) >= minimumServers;
    }

    /**
     * Sends a call again if its attempts ended without an answer and that is harmless, or gives it up.
     *
     * @param call the call
     * @param reason why its last attempt failed
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    void retryOrAbandon(CallState call, Reason reason, long now, DecisionSink sink) {
        if (call.attemptsOpen() > 0) {
            return;
        }
        if (acquireRetry(call, now)) {
            attemptOrQueue(services.service(call.terms().service()), call, now, sink);
            return;
        }
        finalAnswers.abandon(call, reason, now, sink);
    }

    /**
     * Returns whether a call may be sent again, and takes the repeat from the budget if it counts.
     *
     * @param call the call
     * @param now the time in nanoseconds
     * @return {@code true} if it is to be sent again
     */
    boolean acquireRetry(CallState call, long now) {
        ServiceState service = services.service(call.terms().service());
        boolean blocked = poisonRequests.blocked(call.terms().fingerprint(), now);
        return service != null && !blocked && RetryRule.INSTANCE.allows(call, service.retryBudget(), now);
    }

    /**
     * Gives up the waiting calls of a service that cannot be answered in time any more.
     *
     * @param service the service
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    void abandonLate(ServiceState service, long now, DecisionSink sink) {
        service.waitingCalls().demote(call -> missesTarget(service, call, now));
        CallState late = service.waitingCalls().findFirst(call -> missesDeadline(service, call, now));
        while (late != null) {
            finalAnswers.abandon(late, Reason.DEADLINE_UNREACHABLE, now, sink);
            late = service.waitingCalls().findFirst(call -> missesDeadline(service, call, now));
        }
    }

    /**
     * Returns whether a waiting call cannot be answered within its target latency any more even if it is sent now.
     *
     * @param service the service
     * @param call the call
     * @param now the time in nanoseconds
     * @return {@code true} if less time is left than its work usually takes
     */
    private static boolean missesTarget(ServiceState service, CallState call, long now) {
        if (call.terms().route().isEmpty()) {
            return false;
        }
        double typicalNanoseconds = service.workTimes()
                .nanoseconds(call.terms().route(), call.terms().targetLatencyNanoseconds());
        return call.terms().arrivedAt() + call.terms().targetLatencyNanoseconds() - now < typicalNanoseconds;
    }

    /**
     * Returns whether a waiting call cannot be answered in time any more even if it is sent now.
     *
     * @param service the service
     * @param call the call
     * @param now the time in nanoseconds
     * @return {@code true} if less time is left than half of what its work usually takes
     */
    private static boolean missesDeadline(ServiceState service, CallState call, long now) {
        if (call.terms().route().isEmpty()) {
            return false;
        }
        double typicalNanoseconds = service.workTimes()
                .nanoseconds(call.terms().route(), call.terms().targetLatencyNanoseconds());
        return call.terms().deadline() - now < typicalNanoseconds / 2;
    }

    /**
     * Starts attempts of calls that wait for the service of a call.
     *
     * @param call the call
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    void launchWaiting(CallState call, long now, DecisionSink sink) {
        ServiceState service = services.service(call.terms().service());
        if (service != null) {
            launcher.launchWaiting(service, now, sink);
        }
    }
}
