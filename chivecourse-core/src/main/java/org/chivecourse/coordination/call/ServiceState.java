package org.chivecourse.coordination.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.coordination.limit.WaitingCalls;
import org.chivecourse.coordination.retry.RetryBudget;
import org.chivecourse.state.server.ServerState;

/** What a host knows of a service. */
public final class ServiceState {

    /** The service as configured. */
    private Service service;

    /** The backend servers in the order of the configuration. */
    private List<ServerState> servers = new ArrayList<>();

    /** The calls that wait for a backend server. */
    private final WaitingCalls waiting;

    /** The budget of repeated requests. */
    private final RetryBudget retries;

    /** The number of choices of a backend server. */
    private long turns;

    /**
     * Creates the state of a service.
     *
     * @param service the service as configured
     * @param known the backend servers that the host knows already, by address
     * @param now the time in nanoseconds
     */
    ServiceState(Service service, Map<String, ServerState> known, long now) {
        this.service = service;
        waiting = new WaitingCalls(service.limits().queueLimit());
        retries = new RetryBudget(service.limits().retryBudgetPercent());
        takeServers(known, now);
    }

    /**
     * Takes over a changed configuration of the service.
     *
     * @param changed the service as configured now
     * @param now the time in nanoseconds
     */
    void reconfigure(Service changed, long now) {
        service = changed;
        waiting.limit(changed.limits().queueLimit());
        retries.percent(changed.limits().retryBudgetPercent());
        Map<String, ServerState> known = new HashMap<>();
        servers.forEach(server -> known.put(server.address(), server));
        takeServers(known, now);
    }

    /**
     * Builds the list of backend servers, keeping what is known of those that stay.
     *
     * @param known the backend servers known so far, by address
     * @param now the time in nanoseconds
     */
    private void takeServers(Map<String, ServerState> known, long now) {
        List<ServerState> next = new ArrayList<>(service.backendServers().size());
        for (BackendServer server : service.backendServers()) {
            ServerState state = known.get(server.address());
            if (state == null) {
                state = new ServerState(server, now);
            } else {
                state.reconfigure(server);
            }
            next.add(state);
        }
        servers = next;
    }

    /**
     * Returns the service as configured.
     *
     * @return the service
     */
    public Service service() {
        return service;
    }

    /**
     * Returns the backend servers in the order of the configuration.
     *
     * @return the backend servers
     */
    public List<ServerState> servers() {
        return servers;
    }

    /**
     * Returns the calls that wait for a backend server.
     *
     * @return the waiting calls
     */
    public WaitingCalls waiting() {
        return waiting;
    }

    /**
     * Returns the budget of repeated requests.
     *
     * @return the budget
     */
    public RetryBudget retries() {
        return retries;
    }

    /**
     * Counts a choice of a backend server.
     *
     * @return the number of choices made before
     */
    long nextTurn() {
        return turns++;
    }
}
