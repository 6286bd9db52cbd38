package org.chivecourse.gateway.operator;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.chivecourse.transport.driver.CoreDriver;

/** Registers the metrics that the decision core counts. */
public final class CoreMetrics {

    /** This class has only static methods. */
    private CoreMetrics() {}

    /**
     * Registers the metrics.
     *
     * @param metrics receives the metrics
     * @param driver the driver of the decision core
     */
    public static void register(MetricRegistry metrics, CoreDriver driver) {
        metrics.register("publication.epoch-changes", (Gauge<Integer>)
                () -> driver.read(core -> core.publishedState().epochChanges()));
        metrics.register("servers.cold", (Gauge<Integer>)
                () -> driver.read(core -> core.services().warmUps().cold().size()));
        metrics.register("servers.cold-sent", (Gauge<Long>)
                () -> driver.read(core -> core.services().warmUps().sent()));
        metrics.register("servers.cold-held-back", (Gauge<Long>)
                () -> driver.read(core -> core.services().warmUps().heldBack()));
    }
}
