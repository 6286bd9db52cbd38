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
import org.chivecourse.coordination.crossing.ServiceCrossing;
import org.chivecourse.coordination.evacuation.Evacuations;
import org.chivecourse.coordination.health.LinkMonitor;
import org.chivecourse.coordination.hedge.HedgeCandidates;
import org.chivecourse.coordination.hedge.HedgeSchedule;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.coordination.limit.ArrivalRates;
import org.chivecourse.coordination.limit.CallerElapsedTimes;
import org.chivecourse.coordination.limit.WaitingCalls;
import org.chivecourse.coordination.measure.ProbeBudget;
import org.chivecourse.coordination.poison.Quarantine;
import org.chivecourse.coordination.retry.FleetRetryBudget;
import org.chivecourse.coordination.retry.RetryBudget;
import org.chivecourse.coordination.retry.ServiceRetryBudget;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.call.CallTerms;
import org.chivecourse.state.server.RegisteredServer;
import org.chivecourse.state.server.ReportedTotal;
import org.chivecourse.state.server.ServerState;

/** The state of one service on this host: its backend servers, queue, budgets and estimates. */
public final class ServiceState {

    /** The settings of this host. */
    private final HostSettings settings;

    /** The service as configured. */
    private Service service;

    /** The data centres whose backend servers get no requests. */
    private final Evacuations evacuations;

    /** The backend servers outside evacuated data centres, in the order of all. */
    private List<ServerState> serversInUse = List.of();

    /** The configured backend servers in their order, followed by those that announced themselves. */
    private List<ServerState> servers = new ArrayList<>();

    /** The sum of other hosts' requests in the last load reports. */
    private final ReportedTotal reportedTotal = new ReportedTotal();

    /** The calls that wait for a backend server. */
    private final WaitingCalls waitingCalls;

    /** The budget of retries and hedges. */
    private final RetryBudget retryBudget;

    /** The calls without a host-name route that get a hedge if they take longer than is typical. */
    private final HedgeSchedule hedgeSchedule = new HedgeSchedule();

    /** The attempts of host-name routes that may get a hedge. */
    private final HedgeCandidates hedgeCandidates = new HedgeCandidates();

    /** The typical work time by route. */
    private final TypicalWorkTimes workTimes = new TypicalWorkTimes();

    /** The suspected calls, which run alone. */
    private final Quarantine quarantine = new Quarantine();

    /** This host's share of the service's probe budget. */
    private final ProbeBudget probeBudget;

    /** The rate at which this host sends requests of the service. */
    private final SendRate sendRate = new SendRate();

    /** The rates at which requests of the service arrive, by rank. */
    private final ArrivalRates arrivalRates = new ArrivalRates();

    /** How long callers have been trying to get an answer. */
    private final CallerElapsedTimes callerElapsedTimes = new CallerElapsedTimes();

    /** Finds out whether this host's own links to the backend servers are lost. */
    private final LinkMonitor links = new LinkMonitor();

    /** What is known and needed of the service elsewhere, {@code null} if calls are not kept in their data centre. */
    private final ServiceCrossing crossing;

    /** The number of hosts that may run gateways. */
    private final IntSupplier hostCount;

    /** The number of selections of a backend server so far. */
    private long selectionCount;

    /**
     * Creates the state of a service.
     *
     * @param known the backend servers that the host already knows, by identity
     * @param announced the backend servers that announced themselves
     * @param evacuations the data centres whose backend servers get no requests
     */
    ServiceState(
            Service service,
            Map<String, ServerState> known,
            List<RegisteredServer> announced,
            HostSettings settings,
            IntSupplier hostCount,
            Evacuations evacuations,
            long now) {
        this.evacuations = evacuations;
        this.settings = settings;
        this.hostCount = hostCount;
        this.service = service;
        crossing = settings.fleet().crossing() == null
                ? null
                : new ServiceCrossing(settings.fleet().crossing().patienceNanoseconds());
        probeBudget = new ProbeBudget(settings.expectedHosts(), now);
        waitingCalls = new WaitingCalls(service.limits().queueLimit());
        retryBudget = settings.fleet().enabled()
                ? new FleetRetryBudget(settings.fleet().retryLimits(), hostCount)
                : new ServiceRetryBudget(service.limits().retryBudgetPercent());
        updateServers(known, announced, now, true);
    }

    /**
     * Applies a changed configuration or changed backend servers.
     *
     * @param known the backend servers that the host already knows, by identity
     * @param announced the backend servers that announced themselves
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
     * Rebuilds the list of backend servers and keeps the state of those that remain.
     *
     * @param warm whether new configured backend servers are treated as warmed up
     */
    private void updateServers(
            Map<String, ServerState> known, List<RegisteredServer> announced, long now, boolean warm) {
        List<ServerState> next = new ArrayList<>(service.backendServers().size() + announced.size());
        for (BackendServer server : service.backendServers()) {
            ServerState state = known.get(server.identity());
            if (state == null) {
                state = new ServerState(server, now, warm);
                state.warmUp()
                        .recordAnnouncement(
                                0, warm ? 0 : service.warmUp().duration().toNanos(), now);
            } else {
                state.reconfigure(server);
            }
            next.add(state);
        }
        if (service.discovery().announced()) {
            announced.forEach(server -> next.add(announcedServerState(known, server, now)));
        }
        servers = next;
        serversInUse = evacuations.without(servers);
        servers.forEach(server -> server.warmUp().configure(service.warmUp()));
        reportedTotal.track(servers);
    }

    /**
     * Returns the time for which an announced backend server stays cold. If its process has changed, it has just
     * started, also where its announcement does not say so.
     */
    private long remainingNanoseconds(Map<String, ServerState> known, RegisteredServer registered) {
        ServerState earlier = known.get(registered.identity());
        boolean restarted = earlier != null && registered.incarnation() > earlier.incarnation();
        long configured = restarted ? service.warmUp().duration().toNanos() : 0;
        return Math.max(registered.warmUpNanoseconds(), configured);
    }

    /**
     * Returns the state of a backend server that announced itself. A backend server with a new incarnation or address
     * gets a new state, which counts as cold until its warm-up time has passed.
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
        } else {
            state.reconfigure(server);
        }
        state.warmUp().recordAnnouncement(registered.sequence(), remainingNanoseconds(known, registered), now);
        return state;
    }

    /** Returns the service as configured. */
    public Service service() {
        return service;
    }

    /** Returns the configured backend servers in their order, followed by those that announced themselves. */
    public List<ServerState> servers() {
        return servers;
    }

    /** Returns the backend servers that may get requests as far as evacuations go, in the order of all. */
    public List<ServerState> serversInUse() {
        return serversInUse;
    }

    /** Returns whether it has a backend server in a data centre, evacuated or not. */
    public boolean hasServerIn(String dataCentre) {
        return servers.stream().anyMatch(server -> server.server().dataCentre().equals(dataCentre));
    }

    /** Returns whether no backend server is in service, but one would be without the evacuations of data centres. */
    boolean evacuated() {
        return serversInUse.size() < servers.size()
                && !ServerSelector.hasInService(serversInUse)
                && ServerSelector.hasInService(servers);
    }

    /** Returns the data centres whose backend servers get no requests. */
    Evacuations evacuations() {
        return evacuations;
    }

    /** Returns the sum of other hosts' requests in the last load reports. */
    ReportedTotal reportedTotal() {
        return reportedTotal;
    }

    /** Returns the calls that wait for a backend server. */
    public WaitingCalls waitingCalls() {
        return waitingCalls;
    }

    /** Returns the budget of retries and hedges. */
    public RetryBudget retryBudget() {
        return retryBudget;
    }

    /** Returns the calls without a host-name route that get a hedge if they take longer than is typical. */
    HedgeSchedule hedgeSchedule() {
        return hedgeSchedule;
    }

    /** Returns the attempts of host-name routes that may get a hedge. */
    HedgeCandidates hedgeCandidates() {
        return hedgeCandidates;
    }

    /** Returns the typical work time by route. */
    TypicalWorkTimes workTimes() {
        return workTimes;
    }

    /** Returns what is known and needed of the service elsewhere, {@code null} if calls are not kept in their place. */
    public ServiceCrossing crossing() {
        return crossing;
    }

    /** Returns the monitor of this host's own links to the backend servers. */
    public LinkMonitor links() {
        return links;
    }

    /**
     * Returns whether less time is left until a call's target latency than its work typically takes. {@code false} for
     * calls without a host-name route.
     */
    public boolean missesTarget(CallState call, long now) {
        CallTerms terms = call.terms();
        if (terms.route().isEmpty()) {
            return false;
        }
        return terms.firstSentAt() + terms.targetLatencyNanoseconds() - now < typicalNanoseconds(call);
    }

    /** Returns the typical work time of a call in nanoseconds, zero without a host-name route. */
    double typicalNanoseconds(CallState call) {
        CallTerms terms = call.terms();
        return terms.route().isEmpty() ? 0 : workTimes.nanoseconds(terms.route(), terms.targetLatencyNanoseconds());
    }

    /**
     * Returns whether less time is left until a waiting call's deadline than half of what its work typically takes.
     * {@code false} for calls without a host-name route.
     *
     * @param at the time at which the call is sent
     */
    public boolean missesDeadline(CallState call, long at) {
        boolean hasRoute = !call.terms().route().isEmpty();
        return hasRoute && call.terms().deadline() - at < typicalNanoseconds(call) / 2;
    }

    /** Returns how long callers have been trying to get an answer. */
    CallerElapsedTimes callerElapsedTimes() {
        return callerElapsedTimes;
    }

    /** Returns the rates at which requests of the service arrive, by rank. */
    ArrivalRates arrivalRates() {
        return arrivalRates;
    }

    /** Returns the rate at which this host sends requests of the service. */
    SendRate sendRate() {
        return sendRate;
    }

    /**
     * Returns the rate at which all other hosts together are expected to send requests, per nanosecond. Each is assumed
     * to send as often as this one; zero if hosts do not exchange observations.
     */
    double otherHostsRequestsPerNanosecond(long now) {
        return settings.fleet().enabled() ? (hostCount.getAsInt() - 1) * sendRate.perNanosecond(now) : 0;
    }

    /** Returns the suspected calls, which run alone. */
    Quarantine quarantine() {
        return quarantine;
    }

    /** Returns this host's share of the service's probe budget. */
    public ProbeBudget probeBudget() {
        return probeBudget;
    }

    /** Returns the number of slots of all backend servers together. */
    public int slots() {
        int slots = 0;
        for (ServerState server : servers) {
            slots += server.server().slots();
        }
        return slots;
    }

    /** Returns the number of selections before this one, and counts this one. */
    long nextSelection() {
        return selectionCount++;
    }
}
