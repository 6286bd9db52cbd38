package org.chivecourse.coordination.host;

import org.chivecourse.coordination.call.ServiceRegister;
import org.chivecourse.coordination.call.ServiceState;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.health.HealthMonitor;
import org.chivecourse.coordination.measure.AssignedProbes;
import org.chivecourse.coordination.measure.ProbeFinding;
import org.chivecourse.coordination.measure.ProbeTarget;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/** Watches backend servers beyond the calls sent to them: by their health endpoints and by probes of their load. */
final class ServerMonitor {

    /**
     * The time between two searches for looks that are due, in nanoseconds. A search happens on the first tick of each
     * such time, whatever ticks there were before.
     */
    private static final long HEALTH_CHECK_SCAN_INTERVAL_NANOSECONDS = 100_000_000L;

    /** The path of the endpoint that configured backend servers state their load at. */
    private static final String LOAD_PATH = "/load";

    /** The services of the configuration in force. */
    private final ServiceRegister services;

    /** The watch of health endpoints. */
    private final HealthMonitor healthChecks = new HealthMonitor();

    /** The probes of a fleet that finds itself, {@code null} if there is none. */
    private final AssignedProbes assignedProbes;

    /**
     * Creates a watch.
     *
     * @param services the services of the configuration in force
     * @param assignedProbes the probes of a fleet that finds itself, {@code null} if there is none
     */
    ServerMonitor(ServiceRegister services, AssignedProbes assignedProbes) {
        this.services = services;
        this.assignedProbes = assignedProbes;
    }

    /**
     * Starts the looks and probes that are due.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    void handleTimePassed(long now, DecisionSink sink) {
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

    /**
     * Starts the looks at health endpoints that are due.
     *
     * @param service the service
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void startHealthChecks(ServiceState service, long now, DecisionSink sink) {
        for (ServerState server : service.servers()) {
            if (healthChecks.startCheck(server, now)) {
                sink.decide(new Decision.CheckHealth(server.address()));
            }
        }
    }

    /**
     * Starts a probe if the budget allows one and a backend server is worth it.
     *
     * @param service the service
     * @param now the time in nanoseconds
     * @param sink receives the decision
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
     * Decides, as the last step before a probe is sent, whether the budget still allows it.
     *
     * @param address the address of the backend server
     * @param now the time in nanoseconds
     * @param sink receives the decision
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

    /**
     * Takes the end of a probe.
     *
     * @param ended the probe
     * @param now the time in nanoseconds
     */
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
            services.server(ended.address()).recordReport(ended.report(), now);
        }
    }

    /**
     * Takes over what a probe of a backend server that announced itself found.
     *
     * @param ended the probe
     * @param now the time in nanoseconds
     * @param sink receives the changes
     */
    private void applyProbeFinding(Event.ProbeEnded ended, long now, DecisionSink sink) {
        ServerState server = services.server(ended.address());
        long revision = services.configuration().revision();
        switch (ended.finding()) {
            case OTHER_SERVER -> services.markLeaving(ended.address(), LeavingCause.REPLACED, revision, sink);
            case UNREACHABLE -> services.recordUnreachable(server, now);
            case UNWELL -> services.recordHealth(server, false, now);
            default -> services.recordHealth(server, true, now);
        }
        if (ended.report() != null && ended.finding() != ProbeFinding.OTHER_SERVER) {
            services.recordLoad(server, ended.report(), now);
            server.condition().markReachable();
        }
    }

    /**
     * Takes the answer of a look at a health endpoint.
     *
     * @param checked the look
     * @param now the time in nanoseconds
     * @param sink receives the changes
     */
    void handleHealthChecked(Event.HealthChecked checked, long now, DecisionSink sink) {
        ServerState server = services.server(checked.address());
        if (server == null) {
            return;
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
