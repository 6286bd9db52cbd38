package org.chivecourse.coordination.host;

import org.chivecourse.coordination.call.ServiceRegistry;
import org.chivecourse.coordination.call.ServiceState;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.health.HealthCheckResult;
import org.chivecourse.coordination.health.HealthMonitor;
import org.chivecourse.coordination.measure.AssignedProbes;
import org.chivecourse.coordination.measure.ProbeFinding;
import org.chivecourse.coordination.measure.ProbeTarget;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/**
 * Monitors backend servers independently of the calls that are sent to them, by health checks and by probes of their
 * load.
 */
final class ServerMonitor {

    /**
     * The time between two scans for health checks that are due. The scan runs on the first tick of each interval of
     * the clock, so that its time depends on the clock alone and not on earlier ticks.
     */
    private static final long HEALTH_CHECK_SCAN_INTERVAL_NANOSECONDS = 100_000_000L;

    /** The path of the endpoint at which configured backend servers report their load. */
    private static final String LOAD_PATH = "/load";

    /** The services of the configuration in force. */
    private final ServiceRegistry services;

    /** Schedules health checks and evaluates their results. */
    private final HealthMonitor healthChecks = new HealthMonitor();

    /**
     * The probes that the gateways of the fleet divide among themselves, or {@code null} if gateways do not discover
     * each other through seeds.
     */
    private final AssignedProbes assignedProbes;

    /**
     * Creates a monitor.
     *
     * @param services the services of the configuration in force
     * @param assignedProbes the probes that the gateways of the fleet divide among themselves, or {@code null} if
     *     gateways do not discover each other through seeds
     */
    ServerMonitor(ServiceRegistry services, AssignedProbes assignedProbes) {
        this.services = services;
        this.assignedProbes = assignedProbes;
    }

    /**
     * Starts the health checks and probes that are due, and audits evacuations of data centres without backend servers.
     * With assigned probes, only those are started: they also report health.
     *
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    void handleTimePassed(long now, DecisionSink sink) {
        services.evacuations().auditUnknown(this::hasServerIn, now, sink);
        if (assignedProbes != null) {
            assignedProbes.startDueProbes(now, sink);
            return;
        }
        boolean healthChecksDue =
                Math.floorMod(now, HEALTH_CHECK_SCAN_INTERVAL_NANOSECONDS) < HostCore.MAXIMUM_TICK_INTERVAL_NANOSECONDS;
        for (ServiceState service : services.all()) {
            if (healthChecksDue) {
                startHealthChecks(service, now, sink);
            }
            startProbe(service, now, sink);
        }
    }

    /** Returns whether a service has a backend server in a data centre. */
    private boolean hasServerIn(String dataCentre) {
        return services.all().stream().anyMatch(service -> service.hasServerIn(dataCentre));
    }

    /** Starts the health checks of a service that are due. */
    private void startHealthChecks(ServiceState service, long now, DecisionSink sink) {
        for (ServerState server : service.servers()) {
            if (healthChecks.startCheck(server, now)) {
                sink.decide(new Decision.CheckHealth(server.address()));
            }
        }
    }

    /**
     * Probes a backend server of a service if the measuring budget allows it and the last load report of some server in
     * service is missing or outdated.
     */
    private static void startProbe(ServiceState service, long now, DecisionSink sink) {
        if (!service.probeBudget().allows(service.service().measuring(), service.slots(), now)) {
            return;
        }
        ServerState target = ProbeTarget.choose(service.servers(), now);
        if (target != null) {
            sink.decide(new Decision.Probe(target.address(), LOAD_PATH));
        }
    }

    /**
     * Decides whether a probe whose connection is ready is sent. The budget is checked again and charged here, because
     * other probes may have used it up while the connection was established; assigned probes have no budget.
     */
    void handleProbeReady(String address, long now, DecisionSink sink) {
        ServiceState service = services.serviceOf(address);
        if (service != null && assignedProbes != null) {
            sink.decide(new Decision.SendProbe(address));
            return;
        }
        if (service != null && service.probeBudget().spend(service.service().measuring(), service.slots(), now)) {
            sink.decide(new Decision.SendProbe(address));
        }
    }

    /** Applies the result of a probe, or ignores it if the backend server is no longer configured. */
    void handleProbeEnded(Event.ProbeEnded ended, long now, DecisionSink sink) {
        ServiceState service = services.serviceOf(ended.address());
        if (assignedProbes != null) {
            assignedProbes.recordEnd(ended.address());
        }
        if (service == null) {
            return;
        }
        if (assignedProbes != null) {
            applyProbeFinding(ended, now, sink);
            return;
        }
        if (ended.sent()) {
            service.probeBudget().recordEnd(now, ended.nanoseconds());
        }
        if (ended.report() != null) {
            services.server(ended.address()).warmUp().recordContact(now);
            services.warmUps().recordStatement(services.server(ended.address()), ended.warmUpNanoseconds(), now);
            services.server(ended.address()).recordReport(ended.report(), now);
        }
    }

    /** Applies what an assigned probe found about the health and load of a backend server that announced itself. */
    private void applyProbeFinding(Event.ProbeEnded ended, long now, DecisionSink sink) {
        ServerState server = services.server(ended.address());
        long revision = services.configuration().revision();
        switch (ended.finding()) {
            case OTHER_SERVER -> services.markLeaving(ended.address(), LeavingCause.REPLACED, revision, sink);
            case UNREACHABLE -> services.recordUnreachable(server, now);
            case UNWELL -> recordAnsweredProbe(server, false, now);
            case LEAVING -> {
                recordAnsweredProbe(server, true, now);
                services.recordLeaving(server, LeavingCause.HEADER, now, sink);
            }
            default -> recordAnsweredProbe(server, true, now);
        }
        if (ended.restNanoseconds() > 0 && ended.finding() != ProbeFinding.OTHER_SERVER) {
            services.pauses().recordRest(server, ended.restNanoseconds(), now, sink);
        }
        boolean statesLimit = ended.limit() != null && !ended.limit().unlimited();
        if (statesLimit && ended.finding() != ProbeFinding.OTHER_SERVER) {
            services.limits().record(server, ended.limit(), now, "probe", now, sink);
        }
        recordWarmUp(server, ended, now);
        if (ended.report() != null && ended.finding() != ProbeFinding.OTHER_SERVER) {
            services.recordLoad(server, ended.report(), now);
            server.condition().markReachable();
        }
    }

    /**
     * Records for how long a backend server says that it stays cold. That it is warm counts only in the answer of one
     * that serves, and from when it was asked: it may have turned cold since then.
     */
    private void recordWarmUp(ServerState server, Event.ProbeEnded ended, long now) {
        Long remaining = ended.warmUpNanoseconds();
        boolean counts = ended.finding() == ProbeFinding.SERVING || remaining != null && remaining > 0;
        if (counts && ended.finding() != ProbeFinding.OTHER_SERVER) {
            boolean warm = remaining != null && remaining == 0;
            services.warmUps().recordStatement(server, remaining, warm ? now - ended.nanoseconds() : now);
        }
    }

    /** Records the health that a backend server reported in the answer to a probe. */
    private void recordAnsweredProbe(ServerState server, boolean healthy, long now) {
        services.recordContact(server, now);
        services.recordHealth(server, healthy, now);
    }

    /**
     * Applies the result of a health check, which may take the backend server out of service or return it, or ignores
     * the result if the server is no longer configured.
     */
    void handleHealthChecked(Event.HealthChecked checked, long now, DecisionSink sink) {
        ServerState server = services.server(checked.address());
        if (server == null) {
            return;
        }
        if (checked.answer() != HealthCheckResult.UNREACHABLE) {
            server.condition().recordAlive(now);
            server.warmUp().recordContact(now);
        } else {
            server.warmUp().recordFailure(now);
        }
        long revision = services.configuration().revision();
        switch (healthChecks.recordResult(server, checked.answer(), now)) {
            case LEAVING -> services.markLeaving(checked.address(), LeavingCause.HEALTH, revision, sink);
            case IN_SERVICE -> services.markInService(checked.address(), revision, sink);
            default -> {
                return;
            }
        }
    }
}
