package org.chivecourse.coordination.call;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.ServerMode;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.coordination.choice.SendRate;
import org.chivecourse.coordination.choice.UsualWork;
import org.chivecourse.coordination.hedge.HedgeSchedule;
import org.chivecourse.coordination.hedge.OpenAttempts;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.coordination.limit.WaitingCalls;
import org.chivecourse.coordination.measure.ProbeBudget;
import org.chivecourse.coordination.poison.Quarantine;
import org.chivecourse.coordination.retry.FleetRepeatBudget;
import org.chivecourse.coordination.retry.RepeatBudget;
import org.chivecourse.coordination.retry.RetryBudget;
import org.chivecourse.state.server.RegisteredServer;
import org.chivecourse.state.server.ReportedTotal;
import org.chivecourse.state.server.ServerState;

/** What a host knows of a service. */
public final class ServiceState {

    /** What the core knows of its host. */
    private final HostSettings host;

    /** The service as configured. */
    private Service service;

    /** The backend servers in the order of the configuration, and after them those that announced themselves. */
    private List<ServerState> servers = new ArrayList<>();

    /** The sum of other hosts' requests over the last reports. */
    private final ReportedTotal reported = new ReportedTotal();

    /** The calls that wait for a backend server. */
    private final WaitingCalls waiting;

    /** The budget of repeated requests. */
    private final RepeatBudget retries;

    /** The calls that get a second copy unless they are answered within the usual time. */
    private final HedgeSchedule hedges = new HedgeSchedule();

    /** The attempts of which a second copy may be sent elsewhere. */
    private final OpenAttempts open = new OpenAttempts();

    /** The time that requests take. */
    private final UsualWork work = new UsualWork();

    /** The suspects. */
    private final Quarantine quarantine = new Quarantine();

    /** This host's share of the measuring budget. */
    private final ProbeBudget probes;

    /** The rate at which this host sends requests. */
    private final SendRate sends = new SendRate();

    /** The number of hosts that may run gateways. */
    private final IntSupplier hosts;

    /** The number of choices of a backend server. */
    private long turns;

    /**
     * Creates the state of a service.
     *
     * @param service the service as configured
     * @param known the backend servers that the host knows already, by identity
     * @param announced the backend servers that announced themselves
     * @param host what the core knows of its host
     * @param hosts the number of hosts that may run gateways
     * @param now the time in nanoseconds
     */
    ServiceState(
            Service service,
            Map<String, ServerState> known,
            List<RegisteredServer> announced,
            HostSettings host,
            IntSupplier hosts,
            long now) {
        this.host = host;
        this.hosts = hosts;
        this.service = service;
        probes = new ProbeBudget(host.expectedHosts(), now);
        waiting = new WaitingCalls(service.limits().queueLimit());
        retries = host.fleet().enabled()
                ? new FleetRepeatBudget(host.fleet().retryLimits(), hosts)
                : new RetryBudget(service.limits().retryBudgetPercent());
        takeServers(known, announced, now, true);
    }

    /**
     * Takes over a changed configuration of the service, or changed backend servers.
     *
     * @param changed the service as configured now
     * @param known the backend servers that the host knows already, by identity
     * @param announced the backend servers that announced themselves
     * @param now the time in nanoseconds
     */
    void reconfigure(Service changed, Map<String, ServerState> known, List<RegisteredServer> announced, long now) {
        service = changed;
        waiting.limit(changed.limits().queueLimit());
        if (retries instanceof RetryBudget shared) {
            shared.percent(changed.limits().retryBudgetPercent());
        }
        takeServers(known, announced, now, false);
    }

    /**
     * Builds the list of backend servers, keeping what is known of those that stay.
     *
     * @param known the backend servers known so far, by identity
     * @param announced the backend servers that announced themselves
     * @param now the time in nanoseconds
     * @param warm whether new configured backend servers count as warm
     */
    private void takeServers(Map<String, ServerState> known, List<RegisteredServer> announced, long now, boolean warm) {
        List<ServerState> next = new ArrayList<>(service.backendServers().size() + announced.size());
        for (BackendServer server : service.backendServers()) {
            ServerState state = known.get(server.identity());
            if (state == null) {
                state = new ServerState(server, now, warm);
            } else {
                state.reconfigure(server);
            }
            next.add(state);
        }
        if (service.discovery().announced()) {
            announced.forEach(server -> next.add(state(known, server, now)));
        }
        servers = next;
        reported.track(servers);
    }

    /**
     * Returns the state of a backend server that announced itself.
     *
     * @param known the backend servers known so far, by identity
     * @param registered the announcement
     * @param now the time in nanoseconds
     * @return the state, a new one if the backend server has started again
     */
    private ServerState state(Map<String, ServerState> known, RegisteredServer registered, long now) {
        BackendServer server = new BackendServer(
                registered.address(),
                registered.dataCentre(),
                registered.slots(),
                service.discovery().connections(),
                registered.leaving() ? ServerMode.LEAVING : ServerMode.ACTIVE,
                registered.identity());
        ServerState state = known.get(registered.identity());
        if (state == null
                || state.incarnation() != registered.incarnation()
                || !state.address().equals(registered.address())) {
            boolean near = registered.dataCentre().equals(host.dataCentre());
            state = new ServerState(server, registered.incarnation(), near, now, true);
            state.setColdUntil(now + registered.warmUpNanoseconds());
        } else {
            state.reconfigure(server);
        }
        return state;
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
     * Returns the backend servers.
     *
     * @return the configured ones in their order, and after them those that announced themselves
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
    public RepeatBudget retries() {
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
     * Returns the attempts of which a second copy may be sent elsewhere.
     *
     * @return the attempts
     */
    OpenAttempts open() {
        return open;
    }

    /**
     * Returns the time that requests take.
     *
     * @return the times by route
     */
    UsualWork work() {
        return work;
    }

    /**
     * Returns the rate at which this host sends requests.
     *
     * @return the rate
     */
    SendRate sends() {
        return sends;
    }

    /**
     * Returns the rate at which other hosts are expected to send requests: each as often as this one, where hosts tell
     * each other of what they see.
     *
     * @param now the time in nanoseconds
     * @return the requests per nanosecond
     */
    double othersPerNanosecond(long now) {
        return host.fleet().enabled() ? (hosts.getAsInt() - 1) * sends.perNanosecond(now) : 0;
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
     * Returns the number of choices so far and counts one more.
     *
     * @return the number of choices before this one
     */
    long nextTurn() {
        return turns++;
    }
}
