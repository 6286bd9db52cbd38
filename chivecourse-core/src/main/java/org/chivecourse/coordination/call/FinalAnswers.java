package org.chivecourse.coordination.call;

import java.util.EnumSet;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.decision.Outcome;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.ownership.KeyOwnership;
import org.chivecourse.coordination.reservation.SlotStatistics;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.key.KeyState;

/** Ends calls and refuses requests with answers that the gateway itself creates. */
final class FinalAnswers {

    /** The reasons to refuse a request on arrival after which it may be served a little later. */
    private static final Set<Reason> RETRYABLE =
            EnumSet.of(Reason.QUEUE_FULL, Reason.NO_CONFIGURATION, Reason.OUTDATED_CONFIGURATION);

    /** The services of the configuration in force. */
    private final ServiceRegistry services;

    /** The calls without a final answer and their attempts. */
    private final OpenCalls openCalls;

    /** Ensures that the request of a key runs at most once over all hosts. */
    private final KeyOwnership ownership;

    /** Counts what becomes of calls by the way in which they came to their slots. */
    private final SlotStatistics slotStatistics;

    /** Computes when callers may retry. */
    private final RetryAfterDelay retryAfterDelay;

    /**
     * Creates final answers.
     *
     * @param random the source of the jitter in the delays
     */
    FinalAnswers(
            ServiceRegistry services,
            OpenCalls openCalls,
            KeyOwnership ownership,
            SlotStatistics slotStatistics,
            RandomGenerator random) {
        this.services = services;
        this.openCalls = openCalls;
        this.ownership = ownership;
        this.slotStatistics = slotStatistics;
        retryAfterDelay = new RetryAfterDelay(random);
    }

    /**
     * Ends a call without a backend server's answer. The outcome is {@link Outcome#NOT_RUN} only if neither this host
     * nor another may have run the request.
     */
    void abandon(CallState call, Reason reason, long now, DecisionSink sink) {
        boolean noAttemptRan = call.provablyNotRun();
        boolean notRun = noAttemptRan && !mayHaveRunElsewhere(call.terms().key());
        Outcome outcome = notRun ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        boolean callerMayRetry = call.terms().idempotent() || noAttemptRan && reason != Reason.ANSWERED_BEFORE;
        ServiceState service = services.service(call.terms().service());
        long retryAfterMilliseconds = callerMayRetry
                ? retryAfterDelay.milliseconds(call.terms(), reason, service, services.hostCount(), now)
                : 0;
        if (reason == Reason.EVACUATED) {
            services.evacuations().recordRefusal();
        }
        String explanation = explanation(call, service, now);
        slotStatistics.recordRefusal(call);
        finish(call, now, sink);
        sink.decide(new Decision.Refuse(
                call.identifier(),
                new Decision.Refusal(outcome, reason.consistentWith(outcome), retryAfterMilliseconds, explanation)));
    }

    /**
     * Returns the evidence of each attempt and the state of the service, as text for logs.
     *
     * @param service the service, {@code null} if the configuration in force has none
     */
    private static String explanation(CallState call, ServiceState service, long now) {
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
            int evacuated = service.servers().size() - service.serversInUse().size();
            text.append(evacuated == 0 ? "" : ", " + evacuated + " of them in evacuated data centres");
            long limited = service.servers().stream()
                    .filter(server -> server.allowance().limited(now))
                    .count();
            text.append(limited == 0 ? "" : ", " + limited + " of them limit their requests");
            long cold = service.servers().stream()
                    .filter(server -> server.warmUp().limited(now))
                    .count();
            text.append(cold == 0 ? "" : ", " + cold + " of them are cold");
        }
        return text.toString();
    }

    /**
     * Refuses a request that did not become a call.
     *
     * @param call the identifier that the request would have had as a call
     * @param service the service, {@code null} if there is none
     */
    void refuse(long call, Reason reason, Arrival arrival, ServiceState service, DecisionSink sink) {
        Outcome outcome = mayHaveRunElsewhere(arrival.key()) ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        boolean callerMayRetry = RETRYABLE.contains(reason);
        long retryAfterMilliseconds = callerMayRetry ? retryAfterDelay.milliseconds(arrival, service) : 0;
        String explanation = "revision " + services.configuration().revision();
        sink.decide(
                new Decision.Refuse(call, new Decision.Refusal(outcome, reason, retryAfterMilliseconds, explanation)));
    }

    /**
     * Returns whether another host may have run a duplicate of a request: {@code true} for any request with a key,
     * since no host knows what the others have run.
     */
    private static boolean mayHaveRunElsewhere(String key) {
        return !key.isEmpty();
    }

    /** Ends a call and drops its open attempts. Its key is released only if the request has provably not run. */
    void finish(CallState call, long now, DecisionSink sink) {
        if (call.phase() == CallPhase.WAITING) {
            ServiceState service = services.service(call.terms().service());
            if (service != null) {
                service.waitingCalls().remove(call);
                service.quarantine().remove(call);
            }
        }
        if (!call.terms().key().isEmpty()) {
            KeyState state = call.provablyNotRun() ? null : KeyState.UNKNOWN;
            ownership.recordCallEnd(call.identifier(), call.terms().key(), state, now);
        }
        openCalls.finish(call, sink);
    }
}
