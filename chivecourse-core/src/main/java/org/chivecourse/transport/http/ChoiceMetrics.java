package org.chivecourse.transport.http;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.LockFreeExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import org.chivecourse.configuration.document.ConstantNames;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.event.Event;

/**
 * Measures what choices of backend servers were based on and what came of them: the age of the load that was known, the
 * requests that were at the backend server unexpectedly, and the refusals by reason.
 */
final class ChoiceMetrics {

    /** The ages of the load reports that choices were based on, in milliseconds. */
    private final Histogram reportAges;

    /** The choices of a backend server of which no load report was known. */
    private final Counter uninformedChoices;

    /** The requests at the chosen backend server beyond the estimate, by its answer. */
    private final Histogram unexpectedRequests;

    /** The attempts that the chosen backend server refused. */
    private final Counter refusedAttempts;

    /** The calls that the gateway refused, by reason. */
    private final Map<Reason, Counter> refusals = new EnumMap<>(Reason.class);

    /**
     * Creates the metrics and registers them.
     *
     * @param registry the registry of all metrics
     */
    ChoiceMetrics(MetricRegistry registry) {
        reportAges = createHistogram(registry, "choices.report-age-milliseconds");
        unexpectedRequests = createHistogram(registry, "choices.unexpected-requests");
        uninformedChoices = registry.counter("choices.without-report");
        refusedAttempts = registry.counter("attempts.refused");
        for (Reason reason : Reason.values()) {
            String label = ConstantNames.of(reason);
            refusals.put(reason, registry.counter("calls.refused." + label));
        }
    }

    /** Creates a histogram that favours recent values, and registers it. */
    private static Histogram createHistogram(MetricRegistry registry, String name) {
        return registry.register(
                name,
                new Histogram(LockFreeExponentiallyDecayingReservoir.builder().build()));
    }

    /** Records an attempt that is dispatched to a backend server. */
    void recordAttempt(Decision.Send send) {
        long age = send.basis().reportAgeMilliseconds();
        if (age < 0) {
            uninformedChoices.inc();
        } else {
            reportAges.update(age);
        }
    }

    /** Records the answer of a backend server to an attempt. */
    void recordAnswer(Decision.Send send, Event.AnswerHead answer) {
        if (answer.refused()) {
            refusedAttempts.inc();
        }
        if (answer.report() != null && !send.forwarded()) {
            long unexpected =
                    answer.report().inFlight() - Math.round(send.basis().inFlight());
            unexpectedRequests.update(Math.max(0, unexpected));
        }
    }

    /** Records a call that the gateway refused. */
    void recordRefusal(Reason reason) {
        refusals.get(reason).inc();
    }
}
