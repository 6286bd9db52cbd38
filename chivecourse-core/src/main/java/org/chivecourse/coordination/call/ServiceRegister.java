package org.chivecourse.coordination.call;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.CallerRoute;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.fleet.ObservationOutbox;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.coordination.registry.ServerRegistry;
import org.chivecourse.coordination.route.RouteTable;
import org.chivecourse.state.fleet.Crash;
import org.chivecourse.state.fleet.Observation;
import org.chivecourse.state.fleet.ObservationKind;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.LoadReport;
import org.chivecourse.state.server.ServerState;

/** The services of the configuration in force, with what the host has learnt of their backend servers. */
public final class ServiceRegister {

    /** What the core knows of its host. */
    private final HostSettings settings;

    /** The backend servers that announce themselves. */
    private final ServerRegistry registry;

    /** The source of randomness. */
    private final RandomGenerator random;

    /** What this host saw of backend servers and has not told others. */
    private final ObservationOutbox observations = new ObservationOutbox();

    /** The configuration in force. */
    private Configuration configuration = Configuration.revision(0);

    /** The routes by host name. */
    private RouteTable routes;

    /** The services by name. */
    private Map<String, ServiceState> services = new LinkedHashMap<>();

    /** The backend servers by identity. */
    private final Map<String, ServerState> servers = new LinkedHashMap<>();

    /** The services by the identity of their backend servers. */
    private final Map<String, ServiceState> serviceOfServer = new HashMap<>();

    /** The number of hosts that may run gateways. */
    private int hostCount;

    /**
     * Creates a register without services.
     *
     * @param settings what the core knows of its host
     * @param registry the backend servers that announce themselves
     * @param random the source of randomness
     */
    public ServiceRegister(HostSettings settings, ServerRegistry registry, RandomGenerator random) {
        this.settings = settings;
        this.registry = registry;
        this.random = random;
        hostCount = settings.expectedHosts();
        routes = new RouteTable(List.of(), random);
    }

    /**
     * Puts a configuration in force.
     *
     * @param changed the configuration
     * @param now the time in nanoseconds
     */
    public void apply(Configuration changed, long now) {
        configuration = changed;
        if (!changed.callerRoutes().isEmpty() || !routes.isEmpty()) {
            routes = new RouteTable(changed.callerRoutes(), random);
        }
        updateServers(now);
    }

    /**
     * Takes over the backend servers of the configuration and those that announced themselves.
     *
     * @param now the time in nanoseconds
     */
    public void updateServers(long now) {
        Map<String, ServiceState> next = new LinkedHashMap<>();
        for (Service service : configuration.services()) {
            ServiceState state = services.get(service.name());
            if (state == null) {
                state = new ServiceState(
                        service, servers, registry.ofService(service.name()), settings, () -> hostCount, now);
            } else {
                state.reconfigure(service, servers, registry.ofService(service.name()), now);
            }
            next.put(service.name(), state);
        }
        services = next;
        servers.clear();
        serviceOfServer.clear();
        for (ServiceState state : next.values()) {
            for (ServerState server : state.servers()) {
                servers.put(server.identity(), server);
                serviceOfServer.put(server.identity(), state);
            }
        }
    }

    /**
     * Takes over the number of hosts that may run gateways.
     *
     * @param count the number
     */
    public void updateHostCount(int count) {
        hostCount = count;
    }

    /**
     * Returns the number of hosts that may run gateways.
     *
     * @return the number
     */
    public int hostCount() {
        return hostCount;
    }

    /**
     * Takes over what another host saw of a backend server.
     *
     * @param observation the sighting
     * @param now the time in nanoseconds
     * @param sink receives the changes
     */
    public void applyObservation(Observation observation, long now, DecisionSink sink) {
        ServerState server = servers.get(observation.server());
        if (server == null) {
            return;
        }
        switch (observation.kind()) {
            case LOAD -> {
                if (!server.hasReport() || observation.observedAt() - server.reportedAt() > 0) {
                    server.recordReport(observation.report(), observation.observedAt());
                    server.condition().markReachable();
                }
            }
            case HANDED -> server.recordOthersDispatched(observation.requests(), observation.observedAt());
            case FAILURE -> server.condition().recordFailure(now);
            case UNREACHABLE -> server.condition().markUnreachable(now);
            case UNWELL -> server.condition().recordHealth(false, now);
            case REPLACED -> {
                // Only this host's own requests tell: another host may know an older announcement of the same name.
            }
            default -> markLeaving(observation.server(), LeavingCause.PEER, configuration.revision(), sink);
        }
    }

    /**
     * Notes a load report that a probe got.
     *
     * @param server the backend server
     * @param report the report
     * @param now the time in nanoseconds
     */
    public void recordLoad(ServerState server, LoadReport report, long now) {
        server.recordReport(report, now);
        queueObservation(server, ObservationKind.LOAD, report, now);
    }

    /**
     * Notes a load report that stands on the answer to one of this host's requests and counts that request, which other
     * hosts are not told of any more.
     *
     * @param server the backend server
     * @param report the report
     * @param now the time in nanoseconds
     */
    public void recordLoadOfAnswer(ServerState server, LoadReport report, long now) {
        server.recordReport(report, now);
        queueObservation(server, ObservationKind.LOAD, report.withoutAnsweredRequest(), now);
    }

    /**
     * Notes that this host hands a request to a backend server.
     *
     * @param server the backend server
     * @param now the time in nanoseconds
     */
    public void recordDispatch(ServerState server, long now) {
        if (settings.fleet().enabled()) {
            observations.add(Observation.ofDispatched(server.identity(), 1, now));
        }
    }

    /**
     * Notes that a backend server failed a request that this host had handed it.
     *
     * @param server the backend server
     * @param now the time in nanoseconds
     */
    public void recordFailure(ServerState server, long now) {
        server.condition().recordFailure(now);
        queueObservation(server, ObservationKind.FAILURE, null, now);
    }

    /**
     * Notes that this host could not reach a backend server.
     *
     * @param server the backend server
     * @param now the time in nanoseconds
     */
    public void recordUnreachable(ServerState server, long now) {
        server.condition().markUnreachable(now);
        queueObservation(server, ObservationKind.UNREACHABLE, null, now);
    }

    /**
     * Notes what a backend server told this host of its health.
     *
     * @param server the backend server
     * @param healthy whether it says that it serves
     * @param now the time in nanoseconds
     */
    public void recordHealth(ServerState server, boolean healthy, long now) {
        boolean wasUnhealthy = server.condition().isUnhealthy(now);
        server.condition().recordHealth(healthy, now);
        if (!healthy || wasUnhealthy) {
            queueObservation(server, ObservationKind.UNWELL, null, now);
        }
    }

    /**
     * Notes that a request's run coincided with a failure of a backend server.
     *
     * @param fingerprint a number that copies of the request share
     * @param server the backend server
     */
    public void recordCrash(long fingerprint, ServerState server) {
        if (settings.fleet().enabled()) {
            observations.add(new Crash(fingerprint, server.identity()));
        }
    }

    /**
     * Notes a sighting for other hosts.
     *
     * @param server the backend server
     * @param kind what was seen
     * @param report the load that it stated, {@code null} if it stated none
     * @param now the time in nanoseconds
     */
    private void queueObservation(ServerState server, ObservationKind kind, LoadReport report, long now) {
        if (settings.fleet().enabled()) {
            observations.add(new Observation(server.identity(), kind, report, now));
        }
    }

    /**
     * Marks a backend server as leaving.
     *
     * @param identity the identity of the backend server
     * @param cause how the host learnt of it
     * @param revision the revision in force
     * @param sink receives the change
     */
    public void markLeaving(String identity, LeavingCause cause, long revision, DecisionSink sink) {
        ServerState server = servers.get(identity);
        if (server != null && server.markLeaving(cause)) {
            sink.decide(auditChange(identity, "staying", "leaving", cause, revision));
        }
    }

    /**
     * Marks a backend server as staying.
     *
     * @param identity the identity of the backend server
     * @param revision the revision in force
     * @param sink receives the change
     */
    public void markInService(String identity, long revision, DecisionSink sink) {
        ServerState server = servers.get(identity);
        if (server == null) {
            return;
        }
        LeavingCause cause = server.leavingCause();
        if (server.markInService()) {
            sink.decide(auditChange(identity, "leaving", "staying", cause, revision));
        }
    }

    /**
     * Creates the record of a change.
     *
     * @param identity the identity of the backend server
     * @param from the state before
     * @param to the state now
     * @param cause how the host learnt of it
     * @param revision the revision in force
     * @return the decision
     */
    private static Decision auditChange(String identity, String from, String to, LeavingCause cause, long revision) {
        return new Decision.Audit(
                new Decision.Change(Decision.Subject.SERVER_LEAVING, identity, from, to, cause.toString(), revision));
    }

    /**
     * Returns the backend servers of all services.
     *
     * @return the backend servers as configured or announced
     */
    public List<BackendServer> backendServers() {
        List<BackendServer> all = new ArrayList<>(servers.size());
        servers.values().forEach(server -> all.add(server.server()));
        return all;
    }

    /**
     * Returns a backend server.
     *
     * @param identity the identity
     * @return the state, or {@code null} if there is none
     */
    public ServerState server(String identity) {
        return servers.get(identity);
    }

    /**
     * Returns the service of a backend server.
     *
     * @param identity the identity of the backend server
     * @return the service, or {@code null} if there is none
     */
    public ServiceState serviceOf(String identity) {
        return serviceOfServer.get(identity);
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration
     */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * Returns a service.
     *
     * @param name the name
     * @return the state, or {@code null} if there is none
     */
    public ServiceState service(String name) {
        return services.get(name);
    }

    /**
     * Returns the route by host name of a request.
     *
     * @param arrival the request
     * @return the route, or {@code null} if there is none
     */
    CallerRoute route(Arrival arrival) {
        return routes.route(arrival.host(), arrival.path());
    }

    /**
     * Returns the service that takes a request.
     *
     * @param arrival the request
     * @param route its route by host name, {@code null} if there is none
     * @return the service, if there is one
     */
    Optional<ServiceState> serviceFor(Arrival arrival, CallerRoute route) {
        if (route != null) {
            return Optional.ofNullable(services.get(routes.nextService(route)));
        }
        if (!routes.isEmpty()) {
            return Optional.empty();
        }
        return configuration.serviceFor(arrival.path()).map(service -> services.get(service.name()));
    }

    /**
     * Returns the services in the order of the configuration.
     *
     * @return the services
     */
    public Collection<ServiceState> all() {
        return services.values();
    }

    /**
     * Returns what this host saw of backend servers and has not told others.
     *
     * @return the sightings
     */
    public ObservationOutbox observations() {
        return observations;
    }
}
