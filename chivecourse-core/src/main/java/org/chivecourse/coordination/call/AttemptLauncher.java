package org.chivecourse.coordination.call;

import java.util.ArrayList;
import java.util.List;
import org.chivecourse.coordination.choice.FinishEstimate;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.poison.PoisonRegister;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.server.ServerState;

/** Starts attempts wherever a backend server has room. */
final class AttemptLauncher {

    /** A hundred percent. */
    private static final double PERCENT = 100;

    /** The number of nanoseconds in a millisecond. */
    private static final long MILLISECOND = 1_000_000L;

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
        service.sends().sent(now);
        launch(call, server, call.attempts().isEmpty() ? "first" : "again", now, sink);
        return true;
    }

    /**
     * Starts an attempt of a call at a backend server.
     *
     * @param call the call
     * @param server the backend server
     * @param purpose why the request is sent
     * @param now the time in nanoseconds
     * @param sink receives the decision
     * @return the attempt
     */
    private AttemptState launch(CallState call, ServerState server, String purpose, long now, DecisionSink sink) {
        double inFlight = selector.inFlight(server);
        Decision.Basis basis = new Decision.Basis(
                purpose,
                selector.weighed(),
                inFlight,
                (int) (PERCENT * FinishEstimate.slowness(server, now)),
                server.hasReport() ? (now - server.reportedAt()) / MILLISECOND : -1,
                server.incarnation());
        AttemptState attempt = ledger.begin(call, server, inFlight, now);
        sink.decide(new Decision.Send(
                call.identifier(),
                attempt.identifier(),
                server.identity(),
                call.terms().deadline(),
                call.attempts().size(),
                basis));
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
            selector.begin(service, suspect, now);
            AttemptState attempt = launch(suspect, service.quarantine().reserved(), "alone", now, sink);
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
        hedgeOpen(service, now, sink);
        CallState call = service.hedges().pollDue(now);
        while (call != null) {
            boolean idle = service.waiting().size() == 0;
            boolean open = call.phase() == CallPhase.ATTEMPTING
                    && call.attemptsOpen() == 1
                    && call.attemptsSent() < call.terms().maximumAttempts();
            ServerState server = idle && open ? selector.selectIdle(service, call, now) : null;
            if (server != null && service.retries().spend(now)) {
                launch(call, server, "hedge", now, sink);
            }
            call = service.hedges().pollDue(now);
        }
    }

    /**
     * Starts second attempts of calls whose backend server has become slow or is out of reach, and of those that
     * another one can still answer within the target latency.
     *
     * @param service the service
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void hedgeOpen(ServiceState service, long now, DecisionSink sink) {
        if (service.waiting().size() > 0) {
            return;
        }
        List<AttemptState> later = new ArrayList<>();
        AttemptState attempt = service.open().pollDue(service.work(), now);
        while (attempt != null) {
            CallState call = attempt.call();
            boolean open = call.attemptsOpen() == 1
                    && call.attemptsSent() < call.terms().maximumAttempts();
            ServerState server = open ? selector.selectIdle(service, call, now) : null;
            boolean better = server != null
                    && FinishEstimate.slowness(server, now) < FinishEstimate.slowness(attempt.server(), now) + 1;
            if (better && service.retries().spend(now)) {
                launch(call, server, "hedge", now, sink);
            } else if (open) {
                later.add(attempt);
            }
            attempt = service.open().pollDue(service.work(), now);
        }
        later.forEach(service.open()::putBack);
    }
}
