package org.chivecourse.gateway.operator;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.chivecourse.transport.driver.CoreDriver;

/** The metrics of what the decision core knows and has decided. */
public final class CoreMetrics {

    /** This class has only static methods. */
    private CoreMetrics() {}

    /**
     * Registers the metrics.
     *
     * @param metrics the registry of the gateway's metrics
     * @param driver gives access to the core
     */
    public static void register(MetricRegistry metrics, CoreDriver driver) {
        metrics.register("publication.epoch-changes", (Gauge<Integer>)
                () -> driver.read(core -> core.publishedState().epochChanges()));
        metrics.register("evacuations.data-centres", (Gauge<Integer>)
                () -> driver.read(core -> core.services().evacuations().all().size()));
        metrics.register("evacuations.withdrawn", (Gauge<Long>)
                () -> driver.read(core -> core.services().evacuations().withdrawnAttempts()));
        metrics.register("evacuations.refused", (Gauge<Long>)
                () -> driver.read(core -> core.services().evacuations().refusedCalls()));
        metrics.register("slots.requested", (Gauge<Integer>)
                () -> driver.read(core -> core.reservations().pendingCount()));
        metrics.register("slots.unanswered", (Gauge<Long>)
                () -> driver.read(core -> core.reservations().unansweredCount()));
        metrics.register("slots.granted", (Gauge<Integer>)
                () -> driver.read(core -> core.reservations().allocator().grantedCount()));
        metrics.register("slots.waiting", (Gauge<Integer>)
                () -> driver.read(core -> core.reservations().allocator().waitingCount()));
        SlotReport.register(metrics, driver);
        metrics.register("servers.cold", (Gauge<Integer>)
                () -> driver.read(core -> core.services().warmUps().cold().size()));
        metrics.register("servers.cold-sent", (Gauge<Long>)
                () -> driver.read(core -> core.services().warmUps().sent()));
        metrics.register("servers.cold-held-back", (Gauge<Long>)
                () -> driver.read(core -> core.services().warmUps().heldBack()));
    }
}
