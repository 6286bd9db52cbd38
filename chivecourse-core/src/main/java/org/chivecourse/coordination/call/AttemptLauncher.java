package org.chivecourse.coordination.call;

import java.util.ArrayList;
import java.util.List;
import org.chivecourse.coordination.choice.FinishEstimate;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.poison.PoisonRequests;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.server.ServerState;

/** Starts attempts wherever a backend server has room. */
final class AttemptLauncher {

    /** A hundred percent. */
    private static final double PERCENT = 100;

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

    /** The calls and attempts. */
    private final OpenCalls openCalls;

    /** Selects backend servers. */
    private final ServerSelector selector;

    /** What is known of suspects. */
    private final PoisonRequests poisonRequests;

    /**
     * Creates a launcher.
     *
     * @param openCalls the calls and attempts
     * @param selector selects backend servers
     * @param poisonRequests what is known of suspects
     */
    AttemptLauncher(OpenCalls openCalls, ServerSelector selector, PoisonRequests poisonRequests) {
        this.openCalls = openCalls;
        this.selector = selector;
        this.poisonRequests = poisonRequests;
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
    boolean tryLaunch(ServiceState service, CallState call, long now, DecisionSink sink) {
        ServerState server = selector.select(service, call, now);
        if (server == null) {
            return false;
        }
        service.sendRate().recordRequest(now);
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
                selector.candidateCount(),
                inFlight,
                (int) (PERCENT * FinishEstimate.slowness(server, now)),
                server.hasReport() ? (now - server.reportedAt()) / NANOSECONDS_PER_MILLISECOND : -1,
                server.incarnation());
        AttemptState attempt = openCalls.startAttempt(call, server, inFlight, now);
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
    void launchWaiting(ServiceState service, long now, DecisionSink sink) {
        launchSuspected(service, now, sink);
        while (service.waitingCalls().size() > 0) {
            CallState call = service.waitingCalls().poll();
            if (!tryLaunch(service, call, now, sink)) {
                service.waitingCalls().offer(call);
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
    private void launchSuspected(ServiceState service, long now, DecisionSink sink) {
        CallState suspected = service.quarantine().pollReady(service.servers(), poisonRequests, now);
        if (suspected != null) {
            selector.beginSelection(service, suspected, now);
            AttemptState attempt = launch(suspected, service.quarantine().reserved(), "alone", now, sink);
            service.quarantine().recordStart(attempt);
        }
    }

    /**
     * Starts second attempts of calls that wait for their answers longer than usual.
     *
     * @param service the service
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    void launchHedges(ServiceState service, long now, DecisionSink sink) {
        launchHedgesOfCandidates(service, now, sink);
        CallState call = service.hedgeSchedule().pollDue(now);
        while (call != null) {
            boolean noneWaiting = service.waitingCalls().size() == 0;
            boolean mayHedge = call.phase() == CallPhase.ATTEMPTING
                    && call.attemptsOpen() == 1
                    && call.attemptsSent() < call.terms().maximumAttempts();
            ServerState server = noneWaiting && mayHedge ? selector.selectIdle(service, call, now) : null;
            if (server != null && service.retryBudget().spend(now)) {
                launch(call, server, "hedge", now, sink);
            }
            call = service.hedgeSchedule().pollDue(now);
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
    private void launchHedgesOfCandidates(ServiceState service, long now, DecisionSink sink) {
        if (service.waitingCalls().size() > 0) {
            return;
        }
        List<AttemptState> postponed = new ArrayList<>();
        AttemptState attempt = service.hedgeCandidates().pollDue(service.workTimes(), now);
        while (attempt != null) {
            CallState call = attempt.call();
            boolean mayHedge = call.attemptsOpen() == 1
                    && call.attemptsSent() < call.terms().maximumAttempts();
            ServerState server = mayHedge ? selector.selectIdle(service, call, now) : null;
            boolean faster = server != null
                    && FinishEstimate.slowness(server, now) < FinishEstimate.slowness(attempt.server(), now) + 1;
            if (faster && service.retryBudget().spend(now)) {
                launch(call, server, "hedge", now, sink);
            } else if (mayHedge) {
                postponed.add(attempt);
            }
            attempt = service.hedgeCandidates().pollDue(service.workTimes(), now);
        }
        postponed.forEach(service.hedgeCandidates()::putBack);
    }
}
