package org.chivecourse.standin.deployment;

import java.time.Duration;
import java.util.List;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.Limits;
import org.chivecourse.configuration.model.MeasuringBudget;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.configuration.model.Priority;
import org.chivecourse.configuration.model.RefusalSignal;
import org.chivecourse.configuration.model.Route;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.standin.backend.BackendProfile;
import org.chivecourse.standin.backend.BackendServerStandIn;

/** Enumerates the services of the two deployments with the number and capacity of their backend servers. */
public enum ServiceShape {
    /** Lookups of crossings, bookings of repair visits and orders of slabs. */
    JOBS("jobs", 14, 4, Priority.HIGH, 10, new MeasuringBudget(20, 5), List.of("si-a", "si-b", "si-c")),

    /** Old repair records for inspectors. */
    ARCHIVE("archive", 10, 4, Priority.LOW, 20, new MeasuringBudget(5, 2), List.of("si-a", "si-b", "si-c")),

    /** Lookups of measures and orders of cloth. */
    MEASURE_BOOK("measure-book", 16, 3, Priority.HIGH, 10, new MeasuringBudget(2, 1), List.of("wc-a", "wc-b", "wc-c")),

    /** Old drawings of setts. */
    PATTERN_ARCHIVE("pattern-archive", 11, 3, Priority.LOW, 20, MeasuringBudget.NONE, List.of("wc-a", "wc-b", "wc-c"));

    /** The maximum number of attempts of a lookup. */
    private static final int LOOKUP_ATTEMPTS = 3;

    /** The name of the service, which is also its path prefix after the slash. */
    private final String serviceName;

    /** The number of backend servers. */
    private final int servers;

    /** The number of slots of each backend server. */
    private final int slots;

    /** The priority of the service. */
    private final Priority priority;

    /** The mean time to run a request. */
    private final int serviceMilliseconds;

    /** The measuring budget, which bounds load probes. */
    private final MeasuringBudget measuring;

    /** The data centres to which the backend servers are assigned in turn. */
    private final List<String> dataCentres;

    /**
     * Creates a service's shape.
     *
     * @param serviceName the name of the service
     * @param servers the number of backend servers
     * @param slots the number of slots of each backend server
     * @param priority the priority of the service
     * @param serviceMilliseconds the mean time to run a request
     * @param measuring the measuring budget, which bounds load probes
     * @param dataCentres the data centres to which the backend servers are assigned in turn
     */
    ServiceShape(
            String serviceName,
            int servers,
            int slots,
            Priority priority,
            int serviceMilliseconds,
            MeasuringBudget measuring,
            List<String> dataCentres) {
        this.serviceName = serviceName;
        this.servers = servers;
        this.slots = slots;
        this.priority = priority;
        this.serviceMilliseconds = serviceMilliseconds;
        this.measuring = measuring;
        this.dataCentres = dataCentres;
    }

    /** Returns the name of the service. */
    public String serviceName() {
        return serviceName;
    }

    /** Returns the number of backend servers. */
    public int servers() {
        return servers;
    }

    /** Returns the profile of the simulated backend servers. */
    public BackendProfile profile() {
        return new BackendProfile(slots, Duration.ofMillis(serviceMilliseconds));
    }

    /** Returns the number of requests a second that keep all slots busy. */
    public double capacity() {
        return servers * slots * 1000.0 / serviceMilliseconds;
    }

    /**
     * Returns the service's configuration with backend servers at the given addresses.
     *
     * @param addresses the addresses of the backend servers, assigned to data centres in this order
     */
    public Service toService(List<String> addresses) {
        String prefix = "/" + serviceName;
        Service service = Service.named(serviceName)
                .priority(priority)
                .limits(Limits.DEFAULT)
                .refusal(new RefusalSignal(
                        BackendServerStandIn.REFUSAL_STATUS,
                        BackendServerStandIn.REFUSAL_HEADER,
                        BackendServerStandIn.REFUSAL_VALUE))
                .measuring(measuring)
                .route(Route.of(prefix + "/lookups", Method.GET, Method.HEAD)
                        .attempts(LOOKUP_ATTEMPTS)
                        .hedging())
                .route(Route.of(prefix + "/orders", Method.POST));
        for (int index = 0; index < addresses.size(); index++) {
            String dataCentre = dataCentres.get(index % dataCentres.size());
            service = service.backendServer(
                    BackendServer.at(addresses.get(index)).in(dataCentre).slots(slots));
        }
        return service;
    }
}
