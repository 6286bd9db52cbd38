package org.chivecourse.coordination.call;

import java.util.random.RandomGenerator;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.decision.Outcome;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.ownership.KeyOwnership;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.key.KeyState;

/** Gives calls their final answers in the gateway's own name. */
final class FinalAnswers {

    /** The services of the configuration in force. */
    private final ServiceRegister services;

    /** The calls and attempts. */
    private final OpenCalls openCalls;

    /** The rule that the request of a key runs at most once over all hosts. */
    private final KeyOwnership ownership;

    /** Says when callers may come back. */
    private final RetryAfterDelay retryAfterDelay;

    /**
     * Creates final answers.
     *
     * @param services the services of the configuration in force
     * @param openCalls the calls and attempts
     * @param ownership the rule that the request of a key runs at most once over all hosts
     * @param random the source of randomness
     */
    FinalAnswers(ServiceRegister services, OpenCalls openCalls, KeyOwnership ownership, RandomGenerator random) {
        this.services = services;
        this.openCalls = openCalls;
        this.ownership = ownership;
        retryAfterDelay = new RetryAfterDelay(random);
    }

    /**
     * Gives a call up and tells its caller at once.
     *
     * @param call the call
     * @param reason why
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    void abandon(CallState call, Reason reason, long now, DecisionSink sink) {
        boolean noAttemptRan = call.provablyNotRun();
        boolean notRun = noAttemptRan && !mayHaveRunElsewhere(call.terms().key());
        Outcome outcome = notRun ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        boolean callerMayRetry = call.terms().idempotent() || noAttemptRan && reason != Reason.ANSWERED_BEFORE;
        ServiceState service = services.service(call.terms().service());
        long retryAfterMilliseconds = callerMayRetry ? retryAfterDelay.milliseconds(call.terms(), reason, service) : 0;
        String explanation = explanation(call, service);
        finish(call, now, sink);
        sink.decide(new Decision.Refuse(
                call.identifier(),
                new Decision.Refusal(outcome, reason.consistentWith(outcome), retryAfterMilliseconds, explanation)));
    }

    /**
     * Returns what a final answer rests on, for logs.
     *
     * @param call the call
     * @param service the service, {@code null} if the configuration in force has none
     * @return the explanation
     */
    private static String explanation(CallState call, ServiceState service) {
        StringBuilder text = new StringBuilder();
        for (AttemptState attempt : call.attempts()) {
            text.append(attempt.server().identity())
                    .append(' ')
                    .append(attempt.evidence())
                    .append(", ");
        }
        if (service != null) {
            text.append(service.waitingCalls().size()).append(" waiting, ");
            text.append(service.servers().size()).append(" backend servers");
        }
        return text.toString();
    }

    /**
     * Refuses an arrival that did not become a call.
     *
     * @param call the identifier of the call
     * @param reason why
     * @param arrival what is known of the request
     * @param service the service, {@code null} if there is none
     * @param sink receives the decision
     */
    void refuse(long call, Reason reason, Arrival arrival, ServiceState service, DecisionSink sink) {
        Outcome outcome = mayHaveRunElsewhere(arrival.key()) ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        boolean callerMayRetry = reason == Reason.QUEUE_FULL || reason == Reason.NO_CONFIGURATION;
        long retryAfterMilliseconds = callerMayRetry ? retryAfterDelay.milliseconds(arrival, service) : 0;
        String explanation = "revision " + services.configuration().revision();
        sink.decide(
                new Decision.Refuse(call, new Decision.Refusal(outcome, reason, retryAfterMilliseconds, explanation)));
    }

    /**
     * Returns whether another host may have run a copy of a request.
     *
     * @param key the idempotency key of the request, empty if the caller gave none
     * @return {@code true} for a request with a key, since no host knows what the others have run
     */
    private static boolean mayHaveRunElsewhere(String key) {
        return !key.isEmpty();
    }

    /**
     * Finishes a call and drops its open attempts.
     *
     * @param call the call
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    void finish(CallState call, long now, DecisionSink sink) {
        if (call.phase() == CallPhase.WAITING) {
            ServiceState service = services.service(call.terms().service());
            if (service != null) {
                service.waitingCalls().remove(call);
            }
        }
        if (!call.terms().key().isEmpty()) {
            KeyState state = call.provablyNotRun() ? null : KeyState.UNKNOWN;
            ownership.recordCallEnd(call.identifier(), call.terms().key(), state, now);
        }
        openCalls.finish(call, sink);
    }
}
