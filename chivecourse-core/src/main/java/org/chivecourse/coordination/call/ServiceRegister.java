package org.chivecourse.coordination.call;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.measure.ProbeBudget;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/** The services of the configuration in force, with what the host has learnt of their backend servers. */
public final class ServiceRegister {

    /** The configuration in force. */
    private Configuration configuration = Configuration.revision(0);

    /** The services by name. */
    private Map<String, ServiceState> services = new LinkedHashMap<>();

    /** The backend servers by address. */
    private final Map<String, ServerState> servers = new LinkedHashMap<>();

    /** The largest number of hosts that may probe at the same time. */
    private final int hosts;

    /**
     * Creates a register without services.
     *
     * @param hosts the largest number of hosts that may probe at the same time
     */
    public ServiceRegister(int hosts) {
        this.hosts = hosts;
    }

    /**
     * Puts a configuration in force.
     *
     * @param changed the configuration
     * @param now the time in nanoseconds
     */
    public void apply(Configuration changed, long now) {
        Map<String, ServiceState> next = new LinkedHashMap<>();
        for (Service service : changed.services()) {
            ServiceState state = services.get(service.name());
            if (state == null) {
                state = new ServiceState(service, servers, now, new ProbeBudget(hosts, now));
            } else {
                state.reconfigure(service, now);
            }
            next.put(service.name(), state);
        }
        configuration = changed;
        services = next;
        servers.clear();
        next.values().forEach(state -> state.servers().forEach(server -> servers.put(server.address(), server)));
    }

    /**
     * Marks a backend server as leaving.
     *
     * @param address the address of the backend server
     * @param cause how the host learnt of it
     * @param revision the revision in force
     * @param sink receives the change
     */
    public void leave(String address, LeavingCause cause, long revision, DecisionSink sink) {
        ServerState server = servers.get(address);
        if (server != null && server.leave(cause)) {
            sink.decide(change(address, "staying", "leaving", cause, revision));
        }
    }

    /**
     * Marks a backend server as staying.
     *
     * @param address the address of the backend server
     * @param revision the revision in force
     * @param sink receives the change
     */
    public void stay(String address, long revision, DecisionSink sink) {
        ServerState server = servers.get(address);
        if (server == null) {
            return;
        }
        LeavingCause cause = server.leaving();
        if (server.stay()) {
            sink.decide(change(address, "leaving", "staying", cause, revision));
        }
    }

    /**
     * Creates the audit record of a backend server that leaves or stays.
     *
     * @param address the address of the backend server
     * @param from the value before
     * @param to the value now
     * @param cause how the host learnt of it
     * @param revision the revision in force
     * @return the decision
     */
    private static Decision change(String address, String from, String to, LeavingCause cause, long revision) {
        return new Decision.Audit(
                new Decision.Change(Decision.Subject.SERVER_LEAVING, address, from, to, cause.toString(), revision));
    }

    /**
     * Returns a backend server.
     *
     * @param address the address
     * @return the backend server, or {@code null} if the configuration in force does not name it
     */
    public ServerState server(String address) {
        return servers.get(address);
    }

    /**
     * Returns the service of a backend server.
     *
     * @param address the address
     * @return the service, or {@code null} if the configuration in force does not name the address
     */
    public ServiceState serviceOf(String address) {
        ServerState server = servers.get(address);
        for (ServiceState service : services.values()) {
            if (server != null && service.servers().contains(server)) {
                return service;
            }
        }
        return null;
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, of revision zero before the first
     */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * Returns a service.
     *
     * @param name the name of the service
     * @return the service, or {@code null} if the configuration in force has none of the name
     */
    public ServiceState service(String name) {
        return services.get(name);
    }

    /**
     * Returns the service that a path leads to.
     *
     * @param path the path of a request
     * @return the service, if there is one
     */
    public Optional<ServiceState> serviceFor(String path) {
        return configuration.serviceFor(path).map(service -> services.get(service.name()));
    }

    /**
     * Returns all services.
     *
     * @return the services in the order of the configuration
     */
    public Collection<ServiceState> all() {
        return services.values();
    }
}
