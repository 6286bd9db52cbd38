package org.chivecourse.coordination.call;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.ServerMode;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.coordination.choice.SendRate;
import org.chivecourse.coordination.choice.TypicalWorkTimes;
import org.chivecourse.coordination.hedge.HedgeCandidates;
import org.chivecourse.coordination.hedge.HedgeSchedule;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.coordination.limit.WaitingCalls;
import org.chivecourse.coordination.measure.ProbeBudget;
import org.chivecourse.coordination.poison.Quarantine;
import org.chivecourse.coordination.retry.FleetRetryBudget;
import org.chivecourse.coordination.retry.RepeatBudget;
import org.chivecourse.coordination.retry.ServiceRetryBudget;
import org.chivecourse.state.server.RegisteredServer;
import org.chivecourse.state.server.ReportedTotal;
import org.chivecourse.state.server.ServerState;

/** What a host knows of a service. */
public final class ServiceState {

    /** What the core knows of its host. */
    private final HostSettings settings;

    /** The service as configured. */
    private Service service;

    /** The backend servers in the order of the configuration, and after them those that announced themselves. */
    private List<ServerState> servers = new ArrayList<>();

    /** The sum of other hosts' requests over the last reports. */
    private final ReportedTotal reportedTotal = new ReportedTotal();

    /** The calls that wait for a backend server. */
    private final WaitingCalls waitingCalls;

    /** The budget of repeated requests. */
    private final RepeatBudget retryBudget;

    /** The calls that get a second copy unless they are answered within the usual time. */
    private final HedgeSchedule hedgeSchedule = new HedgeSchedule();

    /** The attempts of which a second copy may be sent elsewhere. */
    private final HedgeCandidates hedgeCandidates = new HedgeCandidates();

    /** The time that requests take. */
    private final TypicalWorkTimes workTimes = new TypicalWorkTimes();

    /** The suspects. */
    private final Quarantine quarantine = new Quarantine();

    /** This host's share of the measuring budget. */
    private final ProbeBudget probeBudget;

    /** The rate at which this host sends requests. */
    private final SendRate sendRate = new SendRate();

    /** The number of hosts that may run gateways. */
    private final IntSupplier hostCount;

    /** The number of choices of a backend server. */
    private long selectionCount;

    /**
     * Creates the state of a service.
     *
     * @param service the service as configured
     * @param known the backend servers that the host knows already, by identity
     * @param announced the backend servers that announced themselves
     * @param settings what the core knows of its host
     * @param hostCount the number of hosts that may run gateways
     * @param now the time in nanoseconds
     */
    ServiceState(
            Service service,
            Map<String, ServerState> known,
            List<RegisteredServer> announced,
            HostSettings settings,
            IntSupplier hostCount,
            long now) {
        this.settings = settings;
        this.hostCount = hostCount;
        this.service = service;
        probeBudget = new ProbeBudget(settings.expectedHosts(), now);
        waitingCalls = new WaitingCalls(service.limits().queueLimit());
        retryBudget = settings.fleet().enabled()
                ? new FleetRetryBudget(settings.fleet().retryLimits(), hostCount)
                : new ServiceRetryBudget(service.limits().retryBudgetPercent());
        updateServers(known, announced, now, true);
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
        waitingCalls.changeLimit(changed.limits().queueLimit());
        if (retryBudget instanceof ServiceRetryBudget serviceBudget) {
            serviceBudget.changePercent(changed.limits().retryBudgetPercent());
        }
        updateServers(known, announced, now, false);
    }

    /**
     * Builds the list of backend servers, keeping what is known of those that stay.
     *
     * @param known the backend servers known so far, by identity
     * @param announced the backend servers that announced themselves
     * @param now the time in nanoseconds
     * @param warm whether new configured backend servers count as warm
     */
    private void updateServers(
            Map<String, ServerState> known, List<RegisteredServer> announced, long now, boolean warm) {
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
            announced.forEach(server -> next.add(announcedServerState(known, server, now)));
        }
        servers = next;
        reportedTotal.track(servers);
    }

    /**
     * Returns the state of a backend server that announced itself.
     *
     * @param known the backend servers known so far, by identity
     * @param registered the announcement
     * @param now the time in nanoseconds
     * @return the state, a new one if the backend server has started again
     */
    private ServerState announcedServerState(Map<String, ServerState> known, RegisteredServer registered, long now) {
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
            boolean local = registered.dataCentre().equals(settings.dataCentre());
            state = new ServerState(server, registered.incarnation(), local, now, true);
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
    ReportedTotal reportedTotal() {
        return reportedTotal;
    }

    /**
     * Returns the calls that wait for a backend server.
     *
     * @return the waiting calls
     */
    public WaitingCalls waitingCalls() {
        return waitingCalls;
    }

    /**
     * Returns the budget of repeated requests.
     *
     * @return the budget
     */
    public RepeatBudget retryBudget() {
        return retryBudget;
    }

    /**
     * Returns the calls that get a second copy unless they are answered within the usual time.
     *
     * @return the schedule
     */
    HedgeSchedule hedgeSchedule() {
        return hedgeSchedule;
    }

    /**
     * Returns the attempts of which a second copy may be sent elsewhere.
     *
     * @return the attempts
     */
    HedgeCandidates hedgeCandidates() {
        return hedgeCandidates;
    }

    /**
     * Returns the time that requests take.
     *
     * @return the times by route
     */
    TypicalWorkTimes workTimes() {
        return workTimes;
    }

    /**
     * Returns the rate at which this host sends requests.
     *
     * @return the rate
     */
    SendRate sendRate() {
        return sendRate;
    }

    /**
     * Returns the rate at which other hosts are expected to send requests: each as often as this one, where hosts tell
     * each other of what they see.
     *
     * @param now the time in nanoseconds
     * @return the requests per nanosecond
     */
    double otherHostsRequestsPerNanosecond(long now) {
        return settings.fleet().enabled() ? (hostCount.getAsInt() - 1) * sendRate.perNanosecond(now) : 0;
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
    public ProbeBudget probeBudget() {
        return probeBudget;
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
    long nextSelection() {
        return selectionCount++;
    }
}
