package org.chivecourse.transport.http;

import com.codahale.metrics.Counter;
import com.codahale.metrics.LockFreeExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.concurrent.TimeUnit;
import org.chivecourse.coordination.decision.Outcome;

/** Counts and times what callers and backend servers see. */
public final class ExchangeMetrics {

    /** The times from the arrival of a request to the end of its exchange. */
    private final Timer callTimes;

    /** The answers of backend servers that were passed on whole. */
    private final Counter deliveredCalls;

    /** The exchanges that ended because the caller left or the answer was cut. */
    private final Counter abortedCalls;

    /** The requests that were told not run. */
    private final Counter notRunCalls;

    /** The requests that were told unknown. */
    private final Counter unknownCalls;

    /** The requests handed to backend servers. */
    private final Counter sentAttempts;

    /** The requests handed to backend servers beyond the first of each call. */
    private final Counter retriedAttempts;

    /**
     * Creates metrics.
     *
     * @param registry holds the metrics
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
    }

    /**
     * Records that a request is handed to a backend server.
     *
     * @param number the number of the attempt among those of its call, counted from one
     */
    void recordAttempt(int number) {
        sentAttempts.inc();
        if (number > 1) {
            retriedAttempts.inc();
        }
    }

    /**
     * Records that the gateway gave up on a request.
     *
     * @param outcome what the caller was told
     */
    void recordRefusal(Outcome outcome) {
        (outcome == Outcome.NOT_RUN ? notRunCalls : unknownCalls).inc();
    }

    /**
     * Records that an answer was passed on whole.
     */
    void recordDelivery() {
        deliveredCalls.inc();
    }

    /**
     * Records that an exchange ended before its answer was whole.
     */
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
