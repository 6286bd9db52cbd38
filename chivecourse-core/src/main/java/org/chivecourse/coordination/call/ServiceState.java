package org.chivecourse.coordination.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.coordination.hedge.HedgeSchedule;
import org.chivecourse.coordination.limit.WaitingCalls;
import org.chivecourse.coordination.measure.ProbeBudget;
import org.chivecourse.coordination.poison.Quarantine;
import org.chivecourse.coordination.retry.RetryBudget;
import org.chivecourse.state.server.ReportedTotal;
import org.chivecourse.state.server.ServerState;

/** What a host knows of a service. */
public final class ServiceState {

    /** The service as configured. */
    private Service service;

    /** The backend servers in the order of the configuration. */
    private List<ServerState> servers = new ArrayList<>();

    /** The sum of other hosts' requests over the last reports. */
    private final ReportedTotal reported = new ReportedTotal();

    /** The calls that wait for a backend server. */
    private final WaitingCalls waiting;

    /** The budget of repeated requests. */
    private final RetryBudget retries;

    /** The calls that get a second copy unless they are answered within the usual time. */
    private final HedgeSchedule hedges = new HedgeSchedule();

    /** The suspects. */
    private final Quarantine quarantine = new Quarantine();

    /** This host's share of the measuring budget. */
    private final ProbeBudget probes;

    /** The number of choices of a backend server. */
    private long turns;

    /**
     * Creates the state of a service.
     *
     * @param service the service as configured
     * @param known the backend servers that the host knows already, by address
     * @param now the time in nanoseconds
     * @param probes this host's share of the measuring budget
     */
    ServiceState(Service service, Map<String, ServerState> known, long now, ProbeBudget probes) {
        this.probes = probes;
        this.service = service;
        waiting = new WaitingCalls(service.limits().queueLimit());
        retries = new RetryBudget(service.limits().retryBudgetPercent());
        takeServers(known, now, true);
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
        takeServers(known, now, false);
    }

    /**
     * Builds the list of backend servers, keeping what is known of those that stay.
     *
     * @param known the backend servers known so far, by address
     * @param now the time in nanoseconds
     * @param warm whether new backend servers count as warm
     */
    private void takeServers(Map<String, ServerState> known, long now, boolean warm) {
        List<ServerState> next = new ArrayList<>(service.backendServers().size());
        for (BackendServer server : service.backendServers()) {
            ServerState state = known.get(server.address());
            if (state == null) {
                state = new ServerState(server, now, warm);
            } else {
                state.reconfigure(server);
            }
            next.add(state);
        }
        servers = next;
        reported.of(servers);
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
     * Returns the sum of other hosts' requests over the last reports.
     *
     * @return the sum
     */
    ReportedTotal reported() {
        return reported;
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
     * Returns the calls that get a second copy unless they are answered within the usual time.
     *
     * @return the schedule
     */
    HedgeSchedule hedges() {
        return hedges;
    }

    /**
     * Returns the suspects.
     *
     * @return the quarantine
     */
    Quarantine quarantine() {
        return quarantine;
    }

    /**
     * Returns this host's share of the measuring budget.
     *
     * @return the budget
     */
    public ProbeBudget probes() {
        return probes;
    }

    /**
     * Returns the number of slots of all backend servers.
     *
     * @return the number of slots
     */
    public int slots() {
        int slots = 0;
        for (ServerState server : servers) {
            slots += server.server().slots();
        }
        return slots;
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
