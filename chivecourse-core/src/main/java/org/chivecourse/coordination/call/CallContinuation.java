package org.chivecourse.coordination.call;

import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.limit.ExpectedWait;
import org.chivecourse.coordination.poison.PoisonRegister;
import org.chivecourse.coordination.retry.RetryRule;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallState;

/** Decides what happens next to a call that has no attempt under way: an attempt, a wait, or its final answer. */
final class CallContinuation {

    /** The number of failed backend servers from which on a request is confined where connections often break. */
    private static final int CRASHES_TO_CONFINE = 2;

    /** The services of the configuration in force. */
    private final ServiceRegister services;

    /** Gives final answers. */
    private final FinalAnswers answers;

    /** Starts attempts. */
    private final AttemptLauncher launcher;

    /** The requests that crash backend servers. */
    private final PoisonRegister poison;

    /**
     * Creates a continuation.
     *
     * @param services the services of the configuration in force
     * @param answers gives final answers
     * @param launcher starts attempts
     * @param poison the requests that crash backend servers
     */
    CallContinuation(ServiceRegister services, FinalAnswers answers, AttemptLauncher launcher, PoisonRegister poison) {
        this.services = services;
        this.answers = answers;
        this.launcher = launcher;
        this.poison = poison;
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
            answers.giveUp(call, Reason.NO_SERVICE, now, sink);
        } else {
            attemptOrWait(service, call, now, sink);
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
    void attemptOrWait(ServiceState service, CallState call, long now, DecisionSink sink) {
        call.enterPhase(CallPhase.WAITING);
        if (confined(call, now)) {
            if (!service.quarantine().offer(call)) {
                answers.giveUp(call, Reason.QUEUE_FULL, now, sink);
            }
            launcher.pump(service, now, sink);
            return;
        }
        boolean mayPass = service.waiting().goesFirst(call);
        if (mayPass && launcher.launch(service, call, now, sink)) {
            return;
        }
        if (!ServerSelector.anyStaying(service)) {
            answers.giveUp(call, Reason.NO_SERVER, now, sink);
            return;
        }
        int ahead = service.waiting().ahead(call);
        long wait = call.terms().route().isEmpty()
                ? ExpectedWait.nanoseconds(ahead, service.servers())
                : ExpectedWait.inFleet(ahead, service.servers(), services.hosts());
        if (now + wait - call.terms().deadline() > 0) {
            answers.giveUp(call, Reason.DEADLINE_UNREACHABLE, now, sink);
            return;
        }
        CallState displaced = service.waiting().full() ? service.waiting().displaceFor(call) : null;
        if (displaced != null) {
            answers.giveUp(displaced, Reason.QUEUE_FULL, now, sink);
        }
        if (!service.waiting().offer(call)) {
            answers.giveUp(call, Reason.QUEUE_FULL, now, sink);
        }
    }

    /**
     * Returns whether a call runs alone on its backend server, since it may crash it.
     *
     * @param call the call
     * @param now the time in nanoseconds
     * @return {@code true} if it is suspected
     */
    private boolean confined(CallState call, long now) {
        long fingerprint = call.terms().fingerprint();
        int least = call.terms().route().isEmpty() ? 1 : CRASHES_TO_CONFINE;
        return poison.suspected(fingerprint, now) && poison.serversFailed(fingerprint) >= least;
    }

    /**
     * Sends a call again if its attempts ended without an answer and that is harmless, or gives it up.
     *
     * @param call the call
     * @param reason why its last attempt failed
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    void againOrGiveUp(CallState call, Reason reason, long now, DecisionSink sink) {
        if (call.attemptsOpen() > 0) {
            return;
        }
        if (mayGoAgain(call, now)) {
            attemptOrWait(services.service(call.terms().service()), call, now, sink);
            return;
        }
        answers.giveUp(call, reason, now, sink);
    }

    /**
     * Returns whether a call may be sent again, and takes the repeat from the budget if it counts.
     *
     * @param call the call
     * @param now the time in nanoseconds
     * @return {@code true} if it is to be sent again
     */
    boolean mayGoAgain(CallState call, long now) {
        ServiceState service = services.service(call.terms().service());
        boolean refused = poison.convicted(call.terms().fingerprint(), now);
        return service != null && !refused && RetryRule.INSTANCE.allows(call, service.retries(), now);
    }

    /**
     * Gives up the waiting calls of a service that cannot be answered in time any more.
     *
     * @param service the service
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    void giveUpLate(ServiceState service, long now, DecisionSink sink) {
        service.waiting().demote(call -> missesTarget(service, call, now));
        CallState late = service.waiting().first(call -> late(service, call, now));
        while (late != null) {
            answers.giveUp(late, Reason.DEADLINE_UNREACHABLE, now, sink);
            late = service.waiting().first(call -> late(service, call, now));
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
        double usual =
                service.work().nanoseconds(call.terms().route(), call.terms().targetLatencyNanoseconds());
        return call.terms().arrivedAt() + call.terms().targetLatencyNanoseconds() - now < usual;
    }

    /**
     * Returns whether a waiting call cannot be answered in time any more even if it is sent now.
     *
     * @param service the service
     * @param call the call
     * @param now the time in nanoseconds
     * @return {@code true} if less time is left than half of what its work usually takes
     */
    private static boolean late(ServiceState service, CallState call, long now) {
        if (call.terms().route().isEmpty()) {
            return false;
        }
        double usual =
                service.work().nanoseconds(call.terms().route(), call.terms().targetLatencyNanoseconds());
        return call.terms().deadline() - now < usual / 2;
    }

    /**
     * Starts attempts of calls that wait for the service of a call.
     *
     * @param call the call
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    void pump(CallState call, long now, DecisionSink sink) {
        ServiceState service = services.service(call.terms().service());
        if (service != null) {
            launcher.pump(service, now, sink);
        }
    }
}
