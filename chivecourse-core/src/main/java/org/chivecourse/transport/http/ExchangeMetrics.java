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
    private final Timer calls;

    /** The answers of backend servers that were passed on whole. */
    private final Counter delivered;

    /** The exchanges that ended because the caller left or the answer was cut. */
    private final Counter aborted;

    /** The requests that were told not run. */
    private final Counter notRun;

    /** The requests that were told unknown. */
    private final Counter unknown;

    /** The requests handed to backend servers. */
    private final Counter attempts;

    /** The requests handed to backend servers beyond the first of each call. */
    private final Counter repeated;

    /**
     * Creates metrics.
     *
     * @param registry holds the metrics
     */
    public ExchangeMetrics(MetricRegistry registry) {
        calls = new Timer(LockFreeExponentiallyDecayingReservoir.builder().build());
        registry.register("calls.time", calls);
        delivered = registry.counter("calls.delivered");
        aborted = registry.counter("calls.aborted");
        notRun = registry.counter("calls.not-run");
        unknown = registry.counter("calls.unknown");
        attempts = registry.counter("attempts.sent");
        repeated = registry.counter("attempts.repeated");
    }

    /**
     * Records that a request is handed to a backend server.
     *
     * @param number the number of the attempt among those of its call, counted from one
     */
    void attempted(int number) {
        attempts.inc();
        if (number > 1) {
            repeated.inc();
        }
    }

    /**
     * Records that the gateway gave up on a request.
     *
     * @param outcome what the caller was told
     */
    void refused(Outcome outcome) {
        (outcome == Outcome.NOT_RUN ? notRun : unknown).inc();
    }

    /**
     * Records that an answer was passed on whole.
     */
    void delivered() {
        delivered.inc();
    }

    /**
     * Records that an exchange ended before its answer was whole.
     */
    void aborted() {
        aborted.inc();
    }

    /**
     * Records the end of an exchange.
     *
     * @param nanoseconds the time since the request arrived
     */
    void ended(long nanoseconds) {
        calls.update(nanoseconds, TimeUnit.NANOSECONDS);
    }
}
