package org.chivecourse.transport.http;

import com.codahale.metrics.Counter;
import com.codahale.metrics.LockFreeExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.Outcome;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.transport.crossing.CrossingCause;
import org.chivecourse.transport.crossing.CrossingMeter;

/** Counts and times the exchanges with callers and the attempts at backend servers. */
public final class ExchangeMetrics {

    /** The times from the arrival of a request to the end of its exchange. */
    private final Timer callTimes;

    /** The calls whose answer from a backend server was forwarded completely. */
    private final Counter deliveredCalls;

    /** The calls that ended because the caller disconnected or the answer was truncated. */
    private final Counter abortedCalls;

    /** The calls that the gateway answered with the outcome not run. */
    private final Counter notRunCalls;

    /** The calls that the gateway answered with the outcome unknown. */
    private final Counter unknownCalls;

    /** The attempts that were dispatched to backend servers. */
    private final Counter sentAttempts;

    /** The attempts that were dispatched to backend servers beyond the first of each call: retries and hedges. */
    private final Counter retriedAttempts;

    /** The calls that were forwarded to other gateways. */
    private final Counter forwardedCalls;

    /** The calls that other gateways forwarded to this one. */
    private final Counter takenCalls;

    /** The transfers that were ended because too many others were stalled. */
    private final Counter endedTransfers;

    /** What choices of backend servers were based on and what came of them. */
    private final ChoiceMetrics choices;

    /**
     * Creates the metrics and registers them.
     *
     * @param registry the registry of all metrics
     */
    public ExchangeMetrics(MetricRegistry registry) {
        callTimes = new Timer(LockFreeExponentiallyDecayingReservoir.builder().build());
        registry.register("calls.time", callTimes);
        deliveredCalls = registry.counter("calls.delivered");
        abortedCalls = registry.counter("calls.aborted");
        notRunCalls = registry.counter("calls.not-run");
        unknownCalls = registry.counter("calls.unknown");
        sentAttempts = registry.counter("attempts.sent");
        retriedAttempts = registry.counter("attempts.repeated");
        forwardedCalls = registry.counter("calls.forwarded");
        takenCalls = registry.counter("calls.taken");
        endedTransfers = registry.counter("transfers.ended");
        choices = new ChoiceMetrics(registry);
    }

    /**
     * Records that an attempt is dispatched to a backend server, or forwarded to another gateway.
     *
     * @param send the decision that started the attempt
     * @param channel the connection on which it is dispatched
     */
    void recordAttempt(Decision.Send send, Channel channel) {
        CrossingMeter.begin(channel, CrossingCause.of(send));
        if (send.forwarded()) {
            forwardedCalls.inc();
            return;
        }
        sentAttempts.inc();
        choices.recordAttempt(send);
        if (send.number() > 1) {
            retriedAttempts.inc();
        }
    }

    /**
     * Records the answer of a backend server, or of the gateway that a call was forwarded to.
     *
     * @param send the decision that started the attempt
     * @param answer the header of the answer
     */
    void recordAnswer(Decision.Send send, Event.AnswerHead answer) {
        choices.recordAnswer(send, answer);
    }

    /** Records that another gateway forwarded a call to this one. */
    void recordTaking() {
        takenCalls.inc();
    }

    /** Records that a transfer was ended because too many others were stalled. */
    void recordEndedTransfer() {
        endedTransfers.inc();
    }

    /**
     * Records that the gateway answered a call with an error that it generated.
     *
     * @param outcome the outcome that the answer states
     */
    void recordRefusal(Outcome outcome) {
        (outcome == Outcome.NOT_RUN ? notRunCalls : unknownCalls).inc();
    }

    /**
     * Records that the gateway refused a call.
     *
     * @param refusal the answer
     */
    void recordRefusal(Decision.Refusal refusal) {
        recordRefusal(refusal.outcome());
        choices.recordRefusal(refusal.reason());
    }

    /** Records that an answer was forwarded completely. */
    void recordDelivery() {
        deliveredCalls.inc();
    }

    /** Records that an exchange ended before its answer was complete. */
    void recordAbort() {
        abortedCalls.inc();
    }

    /**
     * Records the end of an exchange.
     *
     * @param nanoseconds the time since the request arrived
     */
    void recordEnd(long nanoseconds) {
        callTimes.update(nanoseconds, TimeUnit.NANOSECONDS);
    }
}
