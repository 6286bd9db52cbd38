package org.chivecourse.coordination.call;

import org.chivecourse.coordination.choice.FinishEstimate;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.ejection.Ejection;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.poison.PoisonRequests;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallTerms;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/** Decides what follows from what becomes of attempts, and learns from it. */
public final class AttemptOutcomeHandler {

    /** The least status code of a server's errors. */
    private static final int MINIMUM_SERVER_ERROR_STATUS = 500;

    /** The services of the configuration in force. */
    private final ServiceRegister services;

    /** The calls and attempts. */
    private final OpenCalls openCalls;

    /** Gives final answers. */
    private final FinalAnswers finalAnswers;

    /** Decides what happens next to calls. */
    private final CallContinuation continuation;

    /** The requests of which at most one copy runs over all hosts. */
    private final KeyedCalls keyedCalls;

    /** The requests that crash backend servers. */
    private final PoisonRequests poisonRequests;

    /**
     * Creates outcomes.
     *
     * @param services the services of the configuration in force
     * @param openCalls the calls and attempts
     * @param finalAnswers gives final answers
     * @param continuation decides what happens next to calls
     * @param keyedCalls the requests of which at most one copy runs over all hosts
     * @param poisonRequests the requests that crash backend servers
     */
    AttemptOutcomeHandler(
            ServiceRegister services,
            OpenCalls openCalls,
            FinalAnswers finalAnswers,
            CallContinuation continuation,
            KeyedCalls keyedCalls,
            PoisonRequests poisonRequests) {
        this.services = services;
        this.openCalls = openCalls;
        this.finalAnswers = finalAnswers;
        this.continuation = continuation;
        this.keyedCalls = keyedCalls;
        this.poisonRequests = poisonRequests;
    }

    /**
     * Decides, as the last step before a request is handed to a connection, whether it still may be.
     *
     * @param identifier the identifier of the attempt
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void handleReady(long identifier, long now, DecisionSink sink) {
        AttemptState attempt = openCalls.attempt(identifier);
        if (attempt == null || attempt.call().phase() != CallPhase.ATTEMPTING) {
            sink.decide(new Decision.Withdraw(identifier));
            return;
        }
        boolean late = attempt.call().terms().deadline() - now <= 0;
        boolean leaving = attempt.server().leavingCause() != LeavingCause.NONE || isRemoved(attempt.server());
        if (late || leaving) {
            sink.decide(new Decision.Withdraw(identifier));
            handleUnsent(
                    new Event.AttemptUnsent(identifier, late ? "deadline passed" : "backend server leaves"), now, sink);
            return;
        }
        attempt.recordSending(now);
        services.recordDispatch(attempt.server(), now);
        ServiceState service = services.service(attempt.call().terms().service());
        if (service != null && attempt.call().terms().route().isEmpty()) {
            service.hedgeSchedule().schedule(attempt);
        } else if (service != null) {
            service.hedgeCandidates().add(attempt);
        }
        sink.decide(new Decision.Proceed(identifier));
    }

    /**
     * Returns whether a backend server has been taken out.
     *
     * @param server the backend server
     * @return {@code true} if no service has it any more
     */
    private boolean isRemoved(ServerState server) {
        return services.server(server.identity()) != server;
    }

    /**
     * Handles an attempt that ended before any byte was handed to a connection.
     *
     * @param event the attempt and what happened
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void handleUnsent(Event.AttemptUnsent event, long now, DecisionSink sink) {
        AttemptState attempt = openCalls.endAttempt(event.attempt());
        if (attempt == null) {
            return;
        }
        if (attempt.server().leavingCause() == LeavingCause.NONE && attempt.sentAt() == 0) {
            services.recordUnreachable(attempt.server(), now);
            recordFailure(attempt.server(), event.reason(), now, sink);
        }
        refundRetry(attempt, now);
        if (attempt.call().phase() == CallPhase.ATTEMPTING) {
            continuation.retryOrAbandon(attempt.call(), Reason.NO_CONNECTION, now, sink);
        }
        continuation.launchWaiting(attempt.call(), now, sink);
    }

    /**
     * Gives the repeat back that an attempt took from the budget, since it reached no backend server.
     *
     * @param attempt the attempt
     * @param now the time in nanoseconds
     */
    private void refundRetry(AttemptState attempt, long now) {
        ServiceState service = services.service(attempt.call().terms().service());
        if (service != null && attempt.call().attemptsSent() > 0) {
            service.retryBudget().refund(now);
        }
    }

    /**
     * Handles an attempt that ended after bytes were handed to a connection and before its answer was whole.
     *
     * @param event the attempt and what happened
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void handleBroken(Event.AttemptBroken event, long now, DecisionSink sink) {
        AttemptState attempt = openCalls.endAttempt(event.attempt());
        if (attempt == null) {
            return;
        }
        services.recordFailure(attempt.server(), now);
        recordFailure(attempt.server(), event.reason(), now, sink);
        if (attempt.call().phase() == CallPhase.ATTEMPTING) {
            recordCrash(attempt, now, sink);
            continuation.retryOrAbandon(attempt.call(), Reason.CONNECTION_BROKEN, now, sink);
        } else if (attempt.call().phase() == CallPhase.DELIVERING) {
            finalAnswers.finish(attempt.call(), now, sink);
        }
        continuation.launchWaiting(attempt.call(), now, sink);
    }

    /**
     * Handles the header of an answer.
     *
     * @param event the attempt and what the header says
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void handleAnswerStarted(Event.AnswerStarted event, long now, DecisionSink sink) {
        AttemptState attempt = openCalls.attempt(event.attempt());
        if (attempt == null) {
            sink.decide(new Decision.Drop(event.attempt()));
            return;
        }
        if (attempt.call().phase() != CallPhase.ATTEMPTING) {
            return;
        }
        applyAnswerHead(attempt.server(), event.answer(), now, sink);
        if (event.answer().refused()) {
            handleRefusal(attempt, event.answer(), now, sink);
            return;
        }
        if (event.answer().status() >= MINIMUM_SERVER_ERROR_STATUS) {
            services.recordFailure(attempt.server(), now);
            recordFailure(attempt.server(), "status " + event.answer().status(), now, sink);
            if (retryAfterError(attempt, now, sink)) {
                return;
            }
        } else {
            recordSuccess(attempt, now);
        }
        poisonRequests.recordAnswer(attempt.call().terms().fingerprint());
        attempt.call().enterPhase(CallPhase.DELIVERING);
        openCalls.dropAttemptsExcept(attempt.call(), attempt, sink);
        sink.decide(new Decision.Deliver(attempt.call().identifier(), attempt.identifier()));
    }

    /**
     * Sends an idempotent call elsewhere in place of passing on a backend server's error.
     *
     * @param attempt the attempt that was answered with an error
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     * @return {@code false} if the error is to be passed on
     */
    private boolean retryAfterError(AttemptState attempt, long now, DecisionSink sink) {
        CallTerms terms = attempt.call().terms();
        if (terms.route().isEmpty() || !terms.idempotent()) {
            return false;
        }
        boolean otherAttemptsOpen = attempt.call().attemptsOpen() > 1;
        if (!otherAttemptsOpen && !continuation.acquireRetry(attempt.call(), now)) {
            return false;
        }
        openCalls.endAttempt(attempt.identifier());
        sink.decide(new Decision.Drop(attempt.identifier()));
        ServiceState service = services.service(terms.service());
        if (!otherAttemptsOpen && service != null) {
            continuation.attemptOrQueue(service, attempt.call(), now, sink);
        }
        return true;
    }

    /**
     * Learns from an answer.
     *
     * @param attempt the attempt
     * @param now the time in nanoseconds
     */
    private void recordSuccess(AttemptState attempt, long now) {
        long elapsedNanoseconds = now - attempt.sentAt();
        attempt.server().recordResponse(elapsedNanoseconds, attempt.inFlight());
        attempt.server().condition().recordSuccess(now);
        CallTerms terms = attempt.call().terms();
        ServiceState service = services.service(terms.service());
        if (service == null) {
            return;
        }
        service.hedgeSchedule().recordAnswer(elapsedNanoseconds);
        if (!terms.route().isEmpty()) {
            double slowness = Math.max(1, FinishEstimate.slowness(attempt.server(), now));
            double typicalNanoseconds =
                    service.workTimes().nanoseconds(terms.route(), terms.targetLatencyNanoseconds());
            attempt.server()
                    .condition()
                    .recordResponseTimeRatio(elapsedNanoseconds / slowness / typicalNanoseconds, now);
            service.workTimes().record(terms.route(), Math.min(elapsedNanoseconds / slowness, 2 * typicalNanoseconds));
        }
    }

    /**
     * Records that a request's run coincided with a failure.
     *
     * @param attempt the attempt that failed
     * @param now the time in nanoseconds
     * @param sink receives the change
     */
    private void recordCrash(AttemptState attempt, long now, DecisionSink sink) {
        CallTerms terms = attempt.call().terms();
        ServiceState service = services.service(terms.service());
        boolean alone = service != null && service.quarantine().runsAlone(attempt);
        services.recordCrash(terms.fingerprint(), attempt.server());
        if (poisonRequests.recordFailure(terms.fingerprint(), attempt.server().identity(), alone, now)) {
            String name = terms.method() + " " + terms.path() + " " + Long.toHexString(terms.fingerprint());
            sink.decide(new Decision.Audit(new Decision.Change(
                    Decision.Subject.REQUEST_CONVICTED,
                    name,
                    "suspected",
                    "convicted",
                    "crashes of backend servers coincided with it, last "
                            + attempt.server().identity(),
                    services.configuration().revision())));
        }
    }

    /**
     * Learns from the header of an answer.
     *
     * @param server the backend server
     * @param answer what the header says
     * @param now the time in nanoseconds
     * @param sink receives the changes
     */
    private void applyAnswerHead(ServerState server, Event.AnswerHead answer, long now, DecisionSink sink) {
        long revision = services.configuration().revision();
        if (answer.otherServer()) {
            services.markLeaving(server.identity(), LeavingCause.REPLACED, revision, sink);
            return;
        }
        if (answer.report() != null && answer.refused()) {
            services.recordLoad(server, answer.report(), now);
        } else if (answer.report() != null) {
            services.recordLoadOfAnswer(server, answer.report(), now);
        }
        if (answer.leaving()) {
            LeavingCause cause = answer.refused() ? LeavingCause.REFUSAL : LeavingCause.HEADER;
            services.markLeaving(server.identity(), cause, revision, sink);
        }
    }

    /**
     * Handles a refusal.
     *
     * @param attempt the attempt
     * @param answer what the header says
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void handleRefusal(AttemptState attempt, Event.AnswerHead answer, long now, DecisionSink sink) {
        attempt.recordRefusal();
        attempt.server().recordRefusal();
        openCalls.endAttempt(attempt.identifier());
        sink.decide(new Decision.Drop(attempt.identifier()));
        continuation.retryOrAbandon(attempt.call(), Reason.REFUSED, now, sink);
        continuation.launchWaiting(attempt.call(), now, sink);
    }

    /**
     * Handles the end of an answer.
     *
     * @param identifier the identifier of the attempt
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void handleAnswerCompleted(long identifier, long now, DecisionSink sink) {
        AttemptState attempt = openCalls.endAttempt(identifier);
        if (attempt == null) {
            return;
        }
        if (attempt.call().phase() == CallPhase.DELIVERING) {
            finalAnswers.finish(attempt.call(), now, sink);
            keyedCalls.recordAnswer(attempt.call(), now);
        }
        continuation.launchWaiting(attempt.call(), now, sink);
    }

    /**
     * Counts a backend server's failure.
     *
     * @param server the backend server
     * @param reason what happened
     * @param now the time in nanoseconds
     * @param sink receives the change
     */
    private void recordFailure(ServerState server, String reason, long now, DecisionSink sink) {
        ServiceState service = services.serviceOf(server.identity());
        if (service != null) {
            long revision = services.configuration().revision();
            Ejection.INSTANCE.recordFailure(server, service.servers(), reason, now, revision, sink);
        }
    }

    /**
     * Counts the backend servers that left a call unanswered until its deadline.
     *
     * @param attempt an attempt of the call that is open
     * @param now the time in nanoseconds
     */
    void recordUnanswered(AttemptState attempt, long now) {
        if (!attempt.ended() && attempt.sentAt() != 0) {
            services.recordFailure(attempt.server(), now);
        }
    }
}
