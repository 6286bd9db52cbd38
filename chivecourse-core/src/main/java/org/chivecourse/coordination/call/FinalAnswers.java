package org.chivecourse.coordination.call;

import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.decision.Outcome;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.limit.ExpectedWait;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallState;

/** Gives calls their final answers in the gateway's own name. */
final class FinalAnswers {

    /** The services of the configuration in force. */
    private final ServiceRegister services;

    /** The calls and attempts. */
    private final CallLedger ledger;

    /**
     * Creates final answers.
     *
     * @param services the services of the configuration in force
     * @param ledger the calls and attempts
     */
    FinalAnswers(ServiceRegister services, CallLedger ledger) {
        this.services = services;
        this.ledger = ledger;
    }

    /**
     * Gives a call up and tells its caller at once.
     *
     * @param call the call
     * @param reason why
     * @param sink receives the decisions that follow
     */
    void giveUp(CallState call, Reason reason, DecisionSink sink) {
        boolean notRun = call.provablyNotRun() && !mayRunElsewhere(call.terms().key());
        Outcome outcome = notRun ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        boolean again = notRun || call.terms().idempotent();
        ServiceState service = services.service(call.terms().service());
        finish(call, sink);
        sink.decide(new Decision.Refuse(
                call.identifier(), new Decision.Refusal(outcome, reason, again ? retryAfter(service) : 0)));
    }

    /**
     * Returns when a copy of a refused request makes sense.
     *
     * @param service the service, {@code null} if the configuration in force has none
     * @return the time in seconds
     */
    private static int retryAfter(ServiceState service) {
        return service == null
                ? 1
                : ExpectedWait.retryAfterSeconds(service.waiting().size(), service.servers());
    }

    /**
     * Refuses an arrival that did not become a call.
     *
     * @param call the identifier of the call
     * @param reason why
     * @param arrival what is known of the request
     * @param sink receives the decision
     */
    void refuse(long call, Reason reason, Arrival arrival, DecisionSink sink) {
        Outcome outcome = mayRunElsewhere(arrival.key()) ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        boolean again = reason == Reason.QUEUE_FULL || reason == Reason.NO_CONFIGURATION;
        ServiceState service = services.serviceFor(arrival.path()).orElse(null);
        sink.decide(new Decision.Refuse(call, new Decision.Refusal(outcome, reason, again ? retryAfter(service) : 0)));
    }

    /**
     * Returns whether another host may have run a copy of a request.
     *
     * @param key the idempotency key of the request, empty if the caller gave none
     * @return {@code true} for a request with a key, since no host knows what the others have run
     */
    private static boolean mayRunElsewhere(String key) {
        return !key.isEmpty();
    }

    /**
     * Finishes a call and drops its open attempts.
     *
     * @param call the call
     * @param sink receives the decisions that follow
     */
    void finish(CallState call, DecisionSink sink) {
        if (call.phase() == CallPhase.WAITING) {
            ServiceState service = services.service(call.terms().service());
            if (service != null) {
                service.waiting().remove(call);
            }
        }
        ledger.finish(call, sink);
    }
}
