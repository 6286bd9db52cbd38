package org.chivecourse.coordination.fleet;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.chivecourse.configuration.format.ConfigurationWriter;
import org.chivecourse.configuration.model.CallerRoute;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.Discovery;
import org.chivecourse.configuration.model.Idempotency;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.configuration.model.WarmUp;
import org.chivecourse.state.publication.PublishedItem;

/** The configuration of simulations: one service with a route for lookups and one for orders. */
final class SimulatedRoutes {

    private SimulatedRoutes() {}

    static PublishedItem configuration(long timeoutMilliseconds) {
        return configuration(2, timeoutMilliseconds, WarmUp.NONE);
    }

    /** Returns a configuration whose backend servers warm up. */
    static PublishedItem configuration(long revision, long timeoutMilliseconds, WarmUp warmUp) {
        Configuration configuration = Configuration.revision(revision)
                .service(Service.named("jobs").discovery(Discovery.DEFAULT).warmUp(warmUp))
                .callerRoute(CallerRoute.of("lookups", "jobs.example", "/lookups/", "jobs")
                        .idempotency(Idempotency.IDEMPOTENT)
                        .attempts(2)
                        .rank(2)
                        .times(Duration.ofMillis(timeoutMilliseconds), Duration.ofMillis(300)))
                .callerRoute(CallerRoute.of("orders", "jobs.example", "/orders/", "jobs")
                        .idempotency(Idempotency.NOT_IDEMPOTENT)
                        .attempts(2)
                        .rank(1)
                        .times(Duration.ofMillis(timeoutMilliseconds), Duration.ofMillis(400)));
        String text = new ConfigurationWriter().printUnchecked(configuration);
        return new PublishedItem(TextDecoder.CONFIGURATION, 0, text.getBytes(StandardCharsets.UTF_8));
    }
}
