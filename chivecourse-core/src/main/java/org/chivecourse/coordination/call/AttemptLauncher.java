package org.chivecourse.coordination.call;

import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.poison.PoisonRegister;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.server.ServerState;

/** Starts attempts wherever a backend server has room. */
final class AttemptLauncher {

    /** The calls and attempts. */
    private final CallLedger ledger;

    /** Selects backend servers. */
    private final ServerSelector selector;

    /** What is known of suspects. */
    private final PoisonRegister poison;

    /**
     * Creates a launcher.
     *
     * @param ledger the calls and attempts
     * @param selector selects backend servers
     * @param poison what is known of suspects
     */
    AttemptLauncher(CallLedger ledger, ServerSelector selector, PoisonRegister poison) {
        this.ledger = ledger;
        this.selector = selector;
        this.poison = poison;
    }

    /**
     * Starts an attempt of a call if a backend server has room.
     *
     * @param service the service
     * @param call the call
     * @param now the time in nanoseconds
     * @param sink receives the decision
     * @return {@code true} if an attempt started
     */
    boolean launch(ServiceState service, CallState call, long now, DecisionSink sink) {
        ServerState server = selector.select(service, call, now);
        if (server == null) {
            return false;
        }
        launch(call, server, now, sink);
        return true;
    }

    /**
     * Starts an attempt of a call at a backend server.
     *
     * @param call the call
     * @param server the backend server
     * @param now the time in nanoseconds
     * @param sink receives the decision
     * @return the attempt
     */
    private AttemptState launch(CallState call, ServerState server, long now, DecisionSink sink) {
        AttemptState attempt = ledger.begin(call, server, selector.inFlight(server), now);
        sink.decide(new Decision.Send(
                call.identifier(),
                attempt.identifier(),
                server.address(),
                call.terms().deadline(),
                call.attempts().size()));
        return attempt;
    }

    /**
     * Starts attempts of calls that wait for a service.
     *
     * @param service the service
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    void pump(ServiceState service, long now, DecisionSink sink) {
        launchSuspect(service, now, sink);
        while (service.waiting().size() > 0) {
            CallState call = service.waiting().poll();
            if (!launch(service, call, now, sink)) {
                service.waiting().offer(call);
                return;
            }
        }
    }

    /**
     * Starts the attempt of a suspect if its backend server is free for it.
     *
     * @param service the service
     * @param now the time in nanoseconds
     * @param sink receives the decision
     */
    private void launchSuspect(ServiceState service, long now, DecisionSink sink) {
        CallState suspect = service.quarantine().pollReady(service.servers(), poison, now);
        if (suspect != null) {
            selector.begin(service, now);
            AttemptState attempt = launch(suspect, service.quarantine().reserved(), now, sink);
            service.quarantine().runs(attempt);
        }
    }

    /**
     * Starts second attempts of calls that wait for their answers longer than usual.
     *
     * @param service the service
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    void hedge(ServiceState service, long now, DecisionSink sink) {
        CallState call = service.hedges().pollDue(now);
        while (call != null) {
            boolean idle = service.waiting().size() == 0;
            boolean open = call.phase() == CallPhase.ATTEMPTING
                    && call.attemptsOpen() == 1
                    && call.attemptsSent() < call.terms().attempts();
            ServerState server = idle && open ? selector.selectIdle(service, call, now) : null;
            if (server != null && service.retries().spend()) {
                launch(call, server, now, sink);
            }
            call = service.hedges().pollDue(now);
        }
    }
}
