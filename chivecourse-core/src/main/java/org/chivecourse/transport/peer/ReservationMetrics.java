package org.chivecourse.transport.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import org.chivecourse.configuration.document.ConstantNames;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.state.reservation.SlotVerdict;

/** Counts the messages about slots of backend servers, and the replies by verdict. */
final class ReservationMetrics {

    /** The requests that were sent or passed on to other gateways. */
    private final Counter requestsSent;

    /** The requests that other gateways sent. */
    private final Counter requestsReceived;

    /** The releases that were sent to other gateways. */
    private final Counter releasesSent;

    /** The replies of other gateways. */
    private final Map<SlotVerdict, Counter> repliesReceived = new EnumMap<>(SlotVerdict.class);

    /** The replies to other gateways. */
    private final Map<SlotVerdict, Counter> repliesSent = new EnumMap<>(SlotVerdict.class);

    /**
     * Creates the metrics and registers them.
     *
     * @param registry the registry of all metrics
     */
    ReservationMetrics(MetricRegistry registry) {
        requestsSent = registry.counter("slots.requests-sent");
        requestsReceived = registry.counter("slots.requests-received");
        releasesSent = registry.counter("slots.releases-sent");
        for (SlotVerdict verdict : SlotVerdict.values()) {
            String label = ConstantNames.of(verdict);
            repliesReceived.put(verdict, registry.counter("slots.replies-received." + label));
            repliesSent.put(verdict, registry.counter("slots.replies-sent." + label));
        }
    }

    /** Records a message that is sent to another gateway. Ignores decisions about something else. */
    void recordSent(Decision decision) {
        if (decision instanceof Decision.RequestSlot) {
            requestsSent.inc();
        } else if (decision instanceof Decision.ReplySlot reply) {
            repliesSent.get(reply.reply().verdict()).inc();
        } else if (decision instanceof Decision.ReleaseSlot) {
            releasesSent.inc();
        }
    }

    /** Records a message of another gateway. Ignores events about something else. */
    void recordReceived(Event event) {
        if (event instanceof Event.SlotRequested) {
            requestsReceived.inc();
        } else if (event instanceof Event.SlotReplied replied) {
            repliesReceived.get(replied.reply().verdict()).inc();
        }
    }
}
