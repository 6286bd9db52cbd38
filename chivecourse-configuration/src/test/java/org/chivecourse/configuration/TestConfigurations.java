package org.chivecourse.configuration;

import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.configuration.model.Priority;
import org.chivecourse.configuration.model.RefusalSignal;
import org.chivecourse.configuration.model.Route;
import org.chivecourse.configuration.model.Service;

/** Provides configurations for tests. */
public final class TestConfigurations {

    private TestConfigurations() {}

    public static Service jobs() {
        return Service.named("jobs")
                .priority(Priority.HIGH)
                .refusal(new RefusalSignal(503, "Refused", "before-running"))
                .route(Route.of("/jobs/lookups", Method.GET, Method.HEAD).attempts(3))
                .route(Route.of("/jobs/orders", Method.POST))
                .backendServer(BackendServer.at("10.0.0.1:80").in("si-a"))
                .backendServer(BackendServer.at("10.0.0.2:80").in("si-b"));
    }

    public static Configuration small(long revision) {
        return Configuration.revision(revision).service(jobs());
    }

    /** Returns a configuration of the size expected in two years: 780 backend servers in 39 services. */
    public static Configuration large() {
        Configuration configuration = Configuration.revision(Long.MAX_VALUE).following(Long.MAX_VALUE, "f".repeat(64));
        for (int index = 0; index < 39; index++) {
            Service service = Service.named("service-with-a-long-name-" + index)
                    .refusal(new RefusalSignal(503, "Refused", "before-running"));
            for (int route = 0; route < 10; route++) {
                service = service.route(Route.of(service.pathPrefix() + "/resource-" + route, Method.GET));
            }
            for (int server = 0; server < 20; server++) {
                service = service.backendServer(BackendServer.at("10.100." + index + "." + server + ":65535")
                        .in("data-centre-" + server % 6));
            }
            configuration = configuration.service(service);
        }
        return configuration;
    }
}
