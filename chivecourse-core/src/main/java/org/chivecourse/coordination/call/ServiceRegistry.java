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
import org.chivecourse.coordination.evacuation.Evacuations;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.fleet.ObservationOutbox;
import org.chivecourse.coordination.forward.ForwardingPeers;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.coordination.registry.ServerRegistry;
import org.chivecourse.coordination.route.RouteTable;
import org.chivecourse.coordination.warmup.WarmUpRegistry;
import org.chivecourse.state.fleet.Crash;
import org.chivecourse.state.fleet.Observation;
import org.chivecourse.state.fleet.ObservationKind;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.LoadReport;
import org.chivecourse.state.server.ServerState;

/** The services of the configuration in force, with what this host knows of their backend servers. */
public final class ServiceRegistry {

    /** The settings of this host. */
    private final HostSettings settings;

    /** The backend servers that announce themselves. */
    private final ServerRegistry registry;

    /** The other gateways that take calls which this one cannot send. */
    private final ForwardingPeers forwardingPeers;

    /** The source of randomness. */
    private final RandomGenerator random;

    /** What this host observed of backend servers and has not yet sent to other hosts. */
    private final ObservationOutbox observations = new ObservationOutbox();

    /** The configuration in force. */
    private Configuration configuration = Configuration.revision(0);

    /** The routes by host name. */
    private RouteTable routes;

    /** The services by name. */
    private Map<String, ServiceState> services = new LinkedHashMap<>();

    /** The backend servers by identity. */
    private final Map<String, ServerState> servers = new LinkedHashMap<>();

    /** What backend servers made known whose announcement is gone. */
    private final DepartedServers departedServers = new DepartedServers();

    /** The services by the identity of their backend servers. */
    private final Map<String, ServiceState> serviceOfServer = new HashMap<>();

    /** The data centres whose backend servers get no requests. */
    private final Evacuations evacuations;

    /** The request limits of the backend servers. */
    private final RequestLimitRegistry limits;

    /** Why backend servers in service get no requests at present. */
    private final ServerPauses pauses;
    /** Which backend servers are cold. */
    private final WarmUpRegistry warmUps;

    /** Audits what the ends of backend servers mean for requests. */
    private final CrashAudit crashAudit = new CrashAudit(this);

    /** This host's own links to the backend servers. */
    private final ServiceLinks links = new ServiceLinks(this);

    /** The number of hosts that may run gateways. */
    private int hostCount;

    /** Creates a register without services. */
    public ServiceRegistry(
            HostSettings settings,
            ServerRegistry registry,
            Evacuations evacuations,
            ForwardingPeers forwardingPeers,
            RandomGenerator random) {
        this.settings = settings;
        this.registry = registry;
        this.evacuations = evacuations;
        this.forwardingPeers = forwardingPeers;
        this.random = random;
        limits = new RequestLimitRegistry(this, random);
        pauses = new ServerPauses(this, random);
        warmUps = new WarmUpRegistry(this, settings.fleet().enabled());
        hostCount = settings.expectedHosts();
        routes = new RouteTable(List.of(), random);
    }

    /** Puts a configuration in force. */
    public void apply(Configuration changed, long now) {
        configuration = changed;
        if (!changed.callerRoutes().isEmpty() || !routes.isEmpty()) {
            routes = new RouteTable(changed.callerRoutes(), random);
        }
        updateServers(now);
    }

    /**
     * Rebuilds the backend servers of all services from the configuration and the announcements. The state of backend
     * servers that remain is kept.
     */
    public void updateServers(long now) {
        Map<String, ServiceState> next = new LinkedHashMap<>();
        for (Service service : configuration.services()) {
            ServiceState state = services.get(service.name());
            if (state == null) {
                state = new ServiceState(
                        service,
                        servers,
                        registry.ofService(service.name()),
                        settings,
                        () -> hostCount,
                        evacuations,
                        now);
            } else {
                state.reconfigure(service, servers, registry.ofService(service.name()), now);
            }
            next.put(service.name(), state);
        }
        services = next;
        List<ServerState> before = List.copyOf(servers.values());
        servers.clear();
        serviceOfServer.clear();
        for (ServiceState state : next.values()) {
            for (ServerState server : state.servers()) {
                servers.put(server.identity(), server);
                serviceOfServer.put(server.identity(), state);
            }
        }
        departedServers.update(before, servers);
        evacuations.takeEnded().forEach(dataCentre -> warmUps.assumeCold(dataCentre, "evacuation ended", now));
    }

    /** Changes the number of hosts that may run gateways. */
    public void updateHostCount(int count) {
        hostCount = count;
    }

    /** Returns the number of hosts that may run gateways. */
    public int hostCount() {
        return hostCount;
    }

    /**
     * Applies what another host observed of a backend server. Ignored if this host does not know that backend server,
     * or for a load if a newer report is known.
     */
    public void applyObservation(Observation observation, long now, DecisionSink sink) {
        ServerState server = servers.get(observation.server());
        if (server == null) {
            return;
        }
        switch (observation.kind()) {
            case LOAD -> {
                server.contact().recordAnswerToOthers(observation.observedAt());
                server.warmUp().recordContact(observation.observedAt());
                if (!server.hasReport() || observation.observedAt() - server.reportedAt() > 0) {
                    server.recordReport(observation.report(), observation.observedAt());
                    server.condition().recordAlive(observation.observedAt());
                    server.condition().markReachable();
                }
            }
            case HANDED -> server.recordOthersDispatched(observation.requests(), observation.observedAt());
            case FAILURE -> server.condition().recordFailure(now);
            case UNREACHABLE -> {
                server.condition().markUnreachable(now);
                server.warmUp().recordFailure(observation.observedAt());
            }
            case UNWELL -> {
                server.condition().recordHealth(false, now);
                server.condition().recordAlive(observation.observedAt());
            }
            case REPLACED -> {
                // Ignored: the other host may know an older announcement of the same name, so only this host's requests
                // can show that a backend server was replaced.
            }
            default -> applyLeaving(server, observation, sink);
        }
    }

    /** Applies that a backend server told another host that it leaves, unless an earlier process of it did. */
    private void applyLeaving(ServerState server, Observation observation, DecisionSink sink) {
        if (observation.observedAt() - server.discoveredAt() > 0) {
            markLeaving(observation.server(), LeavingCause.PEER, configuration.revision(), sink);
        }
    }

    /** Records that a backend server told this host that it leaves, and queues that for other hosts. */
    public void recordLeaving(ServerState server, LeavingCause cause, long now, DecisionSink sink) {
        if (servers.get(server.identity()) != server) {
            return;
        }
        if (server.leavingCause() == LeavingCause.NONE) {
            queueObservation(server, ObservationKind.LEAVING, null, now);
        }
        markLeaving(server.identity(), cause, configuration.revision(), sink);
    }

    /** Records a load report that a probe or a refusal returned, and queues it for other hosts. */
    public void recordLoad(ServerState server, LoadReport report, long now) {
        server.recordReport(report, now);
        queueObservation(server, ObservationKind.LOAD, report, now);
    }

    /**
     * Records a load report on the answer to one of this host's requests. The report counts that request, which is no
     * longer in flight, so other hosts receive the report without it.
     */
    public void recordLoadOfAnswer(ServerState server, LoadReport report, long now) {
        server.recordReport(report, now);
        queueObservation(server, ObservationKind.LOAD, report.withoutAnsweredRequest(), now);
    }

    /**
     * Queues for other hosts that this host dispatched a request to a backend server.
     *
     * @param placed whether the allocator of this data centre placed the request, and so knows of it
     */
    public void recordDispatch(ServerState server, boolean placed, long now) {
        if (!settings.fleet().enabled()) {
            return;
        }
        Observation dispatch = Observation.ofDispatched(server.identity(), 1, now);
        if (placed) {
            observations.addForRemote(dispatch);
        } else {
            observations.add(dispatch);
        }
    }

    /** Records that a backend server failed a request that this host had dispatched to it. */
    public void recordFailure(ServerState server, long now) {
        server.condition().recordFailure(now);
        queueObservation(server, ObservationKind.FAILURE, null, now);
    }

    /** Records an answer of a backend server to this host, of any kind, which shows that its process runs. */
    public void recordContact(ServerState server, long now) {
        server.condition().recordAlive(now);
        server.contact().recordAnswer(now);
        server.warmUp().recordContact(now);
    }

    /**
     * Records that this host could not reach a backend server. Others are told once this host's links have proved to
     * work since then.
     */
    public void recordUnreachable(ServerState server, long now) {
        server.condition().markUnreachable(now);
        server.contact().recordFailure(now);
        server.warmUp().recordFailure(now);
    }

    /**
     * Records the health that a backend server reported to this host. Queues {@link ObservationKind#UNWELL} for other
     * hosts if the backend server is unhealthy or was so until now.
     */
    public void recordHealth(ServerState server, boolean healthy, long now) {
        boolean wasUnhealthy = server.condition().isUnhealthy(now);
        server.condition().recordHealth(healthy, now);
        if (!healthy || wasUnhealthy) {
            queueObservation(server, ObservationKind.UNWELL, null, now);
        }
    }

    /** Queues for other hosts that a backend server ended while it ran a request. */
    public void recordCrash(Crash crash) {
        if (settings.fleet().enabled()) {
            observations.add(crash);
        }
    }

    /**
     * Queues an observation for other hosts if this host belongs to a fleet that exchanges them, and the server is one
     * that they know.
     *
     * @param report the reported load, {@code null} if there is none
     */
    void queueObservation(ServerState server, ObservationKind kind, LoadReport report, long now) {
        if (settings.fleet().enabled() && servers.get(server.identity()) == server) {
            observations.add(new Observation(server.identity(), kind, report, now));
        }
    }

    /** Marks a backend server as leaving and audits the change. Ignored if it is unknown or already leaving. */
    public void markLeaving(String identity, LeavingCause cause, long revision, DecisionSink sink) {
        ServerState server = servers.get(identity);
        if (server != null && server.markLeaving(cause)) {
            sink.decide(auditChange(identity, "staying", "leaving", cause, revision));
        }
    }

    /**
     * Marks a leaving backend server as in service again and audits the change. Ignored if its cause of leaving is not
     * revocable.
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

    /** Creates the audit record of a backend server that starts or stops leaving. */
    private static Decision auditChange(String identity, String from, String to, LeavingCause cause, long revision) {
        return new Decision.Audit(
                new Decision.Change(Decision.Subject.SERVER_LEAVING, identity, from, to, cause.toString(), revision));
    }

    /**
     * Returns the backend servers of all services, as configured or announced, and the gateways that calls are
     * forwarded to.
     */
    public List<BackendServer> backendServers() {
        List<BackendServer> all = new ArrayList<>(servers.size());
        servers.values().forEach(server -> all.add(server.server()));
        all.addAll(forwardingPeers.servers());
        return all;
    }

    /** Returns whether no service contains a backend server any more. */
    boolean removed(ServerState server) {
        return servers.get(server.identity()) != server;
    }

    /** Returns the backend server with the given identity, or {@code null} if there is none. */
    public ServerState server(String identity) {
        return servers.get(identity);
    }

    /**
     * Returns the backend server whose present process has a name.
     *
     * @param process the name, as {@link ServerState#processName} gives it
     * @return the backend server, {@code null} if there is none
     */
    ServerState serverOfProcess(String process) {
        ServerState server = servers.get(ServerState.identityOfProcess(process));
        return server != null && server.processName().equals(process) ? server : null;
    }

    /** Returns the service of the backend server with the given identity, or {@code null} if there is none. */
    public ServiceState serviceOf(String identity) {
        return serviceOfServer.get(identity);
    }

    /** Returns the configuration in force. */
    public Configuration configuration() {
        return configuration;
    }

    /** Returns the service with the given name, or {@code null} if there is none. */
    public ServiceState service(String name) {
        return services.get(name);
    }

    /** Returns the host-name route of a request, or {@code null} if none covers it. */
    CallerRoute route(Arrival arrival) {
        return routes.route(arrival.host(), arrival.path());
    }

    /**
     * Returns the service that takes a request. Path prefixes of services apply only if the configuration has no
     * host-name routes.
     *
     * @param route the host-name route of the request, {@code null} if there is none
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

    /** Returns the services in the order of the configuration. */
    public Collection<ServiceState> all() {
        return services.values();
    }

    /** Returns the data centres whose backend servers get no requests. */
    public Evacuations evacuations() {
        return evacuations;
    }

    /** Returns the request limits of the backend servers. */
    public RequestLimitRegistry limits() {
        return limits;
    }

    /** Returns why backend servers in service get no requests at present. */
    public ServerPauses pauses() {
        return pauses;
    }

    /** Returns which backend servers are cold. */
    public WarmUpRegistry warmUps() {
        return warmUps;
    }

    /** Returns the audit of what the ends of backend servers mean for requests. */
    CrashAudit crashAudit() {
        return crashAudit;
    }

    /** Returns this host's own links to the backend servers. */
    public ServiceLinks links() {
        return links;
    }

    /** Returns the settings of this host. */
    HostSettings settings() {
        return settings;
    }

    /** Returns what this host observed of backend servers and has not yet sent to other hosts. */
    public ObservationOutbox observations() {
        return observations;
    }
}
