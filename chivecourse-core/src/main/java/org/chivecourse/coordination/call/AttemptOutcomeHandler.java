package org.chivecourse.coordination.call;

import org.chivecourse.coordination.choice.FinishEstimate;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.ejection.Ejection;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.limit.RequestPermits;
import org.chivecourse.coordination.poison.CrashFinding;
import org.chivecourse.coordination.poison.PoisonRequests;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallTerms;
import org.chivecourse.state.reservation.SlotOutcome;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.LoadReport;
import org.chivecourse.state.server.RequestLimit;
import org.chivecourse.state.server.ServerState;

/** Handles the outcomes of attempts: updates what is known of backend servers and answers, retries or ends calls. */
public final class AttemptOutcomeHandler {

    /** The lowest HTTP status code that counts as a server error. */
    private static final int MINIMUM_SERVER_ERROR_STATUS = 500;

    /** The services of the configuration in force. */
    private final ServiceRegistry services;

    /** The calls without a final answer and their attempts. */
    private final OpenCalls openCalls;

    /** Ends calls with the gateway's own answers. */
    private final FinalAnswers finalAnswers;

    /** Retries, queues or abandons calls whose attempts ended. */
    private final CallContinuation continuation;

    /** The calls with an idempotency key, of which at most one duplicate runs over all hosts. */
    private final KeyedCalls keyedCalls;

    /** The requests that are suspected or blocked because backend servers crashed while running them. */
    private final PoisonRequests poisonRequests;

    /** Decides how suspected calls continue. */
    private final SuspectedCalls suspectedCalls;

    /** Finds the backend servers that ended while they ran a request. */
    private final CrashDetector crashDetector;

    /** The permits that backend servers with a request limit require. */
    private final RequestPermits permits;

    /** Creates a handler. */
    AttemptOutcomeHandler(
            ServiceRegistry services,
            OpenCalls openCalls,
            FinalAnswers finalAnswers,
            CallContinuation continuation,
            KeyedCalls keyedCalls,
            PoisonRequests poisonRequests,
            SuspectedCalls suspectedCalls,
            CrashDetector crashDetector,
            RequestPermits permits) {
        this.services = services;
        this.openCalls = openCalls;
        this.finalAnswers = finalAnswers;
        this.continuation = continuation;
        this.keyedCalls = keyedCalls;
        this.poisonRequests = poisonRequests;
        this.suspectedCalls = suspectedCalls;
        this.crashDetector = crashDetector;
        this.permits = permits;
    }

    /**
     * Decides, as the last step before a request is written to a connection, whether it may still be sent. It is
     * withdrawn if the call has ended or its deadline has passed, or if the backend server is leaving, has been removed
     * or takes no more requests.
     */
    public void handleReady(long identifier, long now, DecisionSink sink) {
        AttemptState attempt = openCalls.attempt(identifier);
        if (attempt == null || attempt.call().phase() != CallPhase.ATTEMPTING) {
            sink.decide(new Decision.Withdraw(identifier));
            return;
        }
        if (poisonRequests.refuses(attempt.call().terms().fingerprint(), now)) {
            withdraw(attempt, Reason.CONVICTED, now, sink);
            return;
        }
        if (suspectedCalls.forbids(services.service(attempt.call().terms().service()), attempt, now)) {
            withdraw(attempt, Reason.SUSPECTED, now, sink);
            return;
        }
        boolean late = attempt.call().terms().deadline() - now <= 0;
        boolean leaving = !attempt.forwarded()
                && (attempt.server().leavingCause() != LeavingCause.NONE || services.removed(attempt.server()));
        if (late || leaving) {
            sink.decide(new Decision.Withdraw(identifier));
            handleUnsent(
                    new Event.AttemptUnsent(identifier, late ? "deadline passed" : "backend server leaves"), now, sink);
            return;
        }
        Reason pause = services.pauses().reason(attempt, now);
        if (pause != null) {
            withdraw(attempt, pause, now, sink);
            return;
        }
        if (!permits.acquire(attempt, now)) {
            services.warmUps().recordHeldBack(attempt.server(), now);
            withdraw(attempt, Reason.LIMITED, now, sink);
            return;
        }
        suspectedCalls.recordSending(attempt, now);
        attempt.recordSending(now);
        if (!attempt.forwarded()) {
            recordDispatch(attempt, now);
        }
        sink.decide(new Decision.Proceed(identifier));
    }

    /** Records that a request is about to be written to a connection of a backend server. */
    private void recordDispatch(AttemptState attempt, long now) {
        attempt.server().allowance().recordDispatch();
        services.warmUps().recordDispatch(attempt.server(), now);
        crashDetector.watch(attempt);
        services.recordDispatch(
                attempt.server(), continuation.reservations().attemptSlots().placed(attempt), now);
        ServiceState service = services.service(attempt.call().terms().service());
        if (service != null && attempt.call().terms().route().isEmpty()) {
            service.hedgeSchedule().schedule(attempt);
        } else if (service != null) {
            service.hedgeCandidates().add(attempt);
        }
    }

    /**
     * Withdraws an attempt that may no longer be sent since the connection was established. The call continues
     * elsewhere if it may.
     *
     * @param reason why the attempt may not be sent
     */
    private void withdraw(AttemptState attempt, Reason reason, long now, DecisionSink sink) {
        sink.decide(new Decision.Withdraw(attempt.identifier()));
        attempt.recordWithdrawal();
        openCalls.endAttempt(attempt.identifier());
        refundRetry(attempt, now);
        continuation.retryOrAbandon(attempt.call(), reason, now, sink);
        continuation.launchWaiting(attempt.call(), now, sink);
    }

    /**
     * Handles an attempt that ended before any byte was written to a connection. Records that the
     * backend server is unreachable and counts a failure towards its ejection, unless it is leaving or the request had
     * already been cleared for sending.
     */
    public void handleUnsent(Event.AttemptUnsent event, long now, DecisionSink sink) {
        AttemptState attempt = openCalls.endAttempt(event.attempt());
        if (attempt == null) {
            return;
        }
        if (attempt.server().leavingCause() == LeavingCause.NONE && attempt.sentAt() == 0) {
            continuation.reservations().attemptSlots().release(attempt, SlotOutcome.CANCELLED, null, now, sink);
            services.recordUnreachable(attempt.server(), now);
            recordFailure(attempt.server(), event.reason(), now, sink);
        }
        refundRetry(attempt, now);
        if (attempt.call().phase() == CallPhase.ATTEMPTING) {
            continuation.retryOrAbandon(attempt.call(), Reason.NO_CONNECTION, now, sink);
        }
        continuation.launchWaiting(attempt.call(), now, sink);
    }

    /** Returns the retry of an attempt to the budget, since the attempt reached no backend server. */
    private void refundRetry(AttemptState attempt, long now) {
        ServiceState service = services.service(attempt.call().terms().service());
        if (service != null && attempt.call().sentAttemptCount() > 0) {
            service.retryBudget().refund(now);
        }
    }

    /** Handles an attempt whose connection broke after bytes were written and before its answer was complete. */
    public void handleBroken(Event.AttemptBroken event, long now, DecisionSink sink) {
        AttemptState attempt = openCalls.endAttempt(event.attempt());
        if (attempt == null) {
            return;
        }
        continuation.reservations().attemptSlots().release(attempt, SlotOutcome.FAILED, null, now, sink);
        services.recordFailure(attempt.server(), now);
        recordFailure(attempt.server(), event.reason(), now, sink);
        crashDetector.recordBreak(attempt, now, sink);
        if (attempt.call().phase() == CallPhase.ATTEMPTING) {
            continuation.retryOrAbandon(attempt.call(), Reason.CONNECTION_BROKEN, now, sink);
        } else if (attempt.call().phase() == CallPhase.DELIVERING) {
            finalAnswers.finish(attempt.call(), now, sink);
        }
        continuation.launchWaiting(attempt.call(), now, sink);
    }

    /**
     * Handles the head of an answer: records success or failure, then delivers the answer, or retries the call after a
     * refusal or a server error. The first answer that is delivered ends the other attempts of the call.
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
        attempt.recordAnswer();
        if (attempt.forwarded()) {
            handleForwardedAnswer(attempt, event.answer(), now, sink);
            return;
        }
        applyAnswerHead(attempt, event.answer(), now, sink);
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
            recordGoodAnswer(attempt, now, sink);
        }
        deliver(attempt, now, sink);
    }

    /** Records that a request which may be suspected was answered well. */
    private void recordGoodAnswer(AttemptState attempt, long now, DecisionSink sink) {
        long fingerprint = attempt.call().terms().fingerprint();
        if (poisonRequests.recordAnswer(fingerprint, now, now)) {
            services.crashAudit()
                    .suspicion(
                            CrashFinding.CLEARED,
                            fingerprint,
                            "answer of " + attempt.server().identity(),
                            sink);
        }
    }

    /** Delivers the answer of an attempt and ends the other attempts of its call. */
    private void deliver(AttemptState attempt, long now, DecisionSink sink) {
        continuation.reservations().statistics().recordAnswer(attempt.call(), now);
        attempt.call().enterPhase(CallPhase.DELIVERING);
        openCalls.dropAttemptsExcept(attempt.call(), attempt, sink);
        sink.decide(new Decision.Deliver(attempt.call().identifier(), attempt.identifier()));
    }

    /**
     * Handles the head of an answer that came through another gateway. That gateway has made what attempts the call had
     * left, so that only a refusal, which proves that nothing ran, is followed by another one.
     */
    private void handleForwardedAnswer(AttemptState attempt, Event.AnswerHead answer, long now, DecisionSink sink) {
        attempt.server().condition().recordSuccess(now);
        if (answer.refused()) {
            handleRefusal(attempt, answer, now, sink);
            return;
        }
        if (answer.status() < MINIMUM_SERVER_ERROR_STATUS) {
            recordGoodAnswer(attempt, now, sink);
        }
        deliver(attempt, now, sink);
    }

    /**
     * Retries an idempotent call of a host-name route instead of forwarding a backend server's error, or leaves it to
     * an attempt that is still open. Returns {@code false} if the error is to be forwarded.
     */
    private boolean retryAfterError(AttemptState attempt, long now, DecisionSink sink) {
        CallTerms terms = attempt.call().terms();
        if (terms.route().isEmpty() || !terms.idempotent()) {
            return false;
        }
        boolean otherAttemptsOpen = attempt.call().openAttemptCount() > 1;
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
     * Records the response time of a successful attempt for the backend server, the hedge schedule and the typical work
     * time of the route. The time is divided by the known slowness of the machine; to limit outliers, at most twice the
     * typical time enters the average.
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
     * Applies what the head of an answer reports of the backend server: its load, that it is leaving, or that another
     * server answered at its address.
     */
    private void applyAnswerHead(AttemptState attempt, Event.AnswerHead answer, long now, DecisionSink sink) {
        ServerState server = attempt.server();
        releaseSlot(attempt, answer, now, sink);
        long revision = services.configuration().revision();
        if (answer.otherServer()) {
            services.markLeaving(server.identity(), LeavingCause.REPLACED, revision, sink);
            return;
        }
        services.recordContact(server, now);
        if (answer.report() != null && answer.refused()) {
            services.recordLoad(server, answer.report(), now);
        } else if (answer.report() != null) {
            services.recordLoadOfAnswer(server, answer.report(), now);
        }
        services.limits().record(server, statedLimit(answer), now, "answer with status " + answer.status(), now, sink);
        if (answer.restNanoseconds() > 0) {
            services.pauses().recordRest(server, answer.restNanoseconds(), now, sink);
        } else if (!answer.refused()) {
            server.rest().recordAcceptance();
        }
        if (answer.leaving()) {
            LeavingCause cause = answer.refused() ? LeavingCause.REFUSAL : LeavingCause.HEADER;
            services.recordLeaving(server, cause, now, sink);
        }
    }

    /** Releases the slot that an attempt used and reports the load of its backend server to the allocator. */
    private void releaseSlot(AttemptState attempt, Event.AnswerHead answer, long now, DecisionSink sink) {
        LoadReport report = answer.otherServer() ? null : answer.report();
        if (report != null && !answer.refused()) {
            report = report.withoutAnsweredRequest();
        }
        SlotOutcome outcome = answer.refused() ? SlotOutcome.REFUSED : SlotOutcome.ANSWERED;
        continuation.reservations().attemptSlots().release(attempt, outcome, report, now, sink);
    }

    /**
     * Returns the request limit that an answer states, {@code null} if it states none. Only a success ends a limit,
     * since a backend server that refuses or fails may do so before it comes to its limit.
     */
    private static RequestLimit statedLimit(Event.AnswerHead answer) {
        boolean success = !answer.refused() && answer.status() < MINIMUM_SERVER_ERROR_STATUS;
        boolean endsLimit = answer.limit() != null && answer.limit().unlimited();
        return endsLimit && !success ? null : answer.limit();
    }

    /** Handles an answer by which the backend server refused to run the request; the call may be retried. */
    private void handleRefusal(AttemptState attempt, Event.AnswerHead answer, long now, DecisionSink sink) {
        attempt.recordRefusal();
        attempt.server().recordRefusal();
        openCalls.endAttempt(attempt.identifier());
        sink.decide(new Decision.Drop(attempt.identifier()));
        continuation.retryOrAbandon(attempt.call(), Reason.REFUSED, now, sink);
        continuation.launchWaiting(attempt.call(), now, sink);
    }

    /** Handles the end of an answer. Ends the call if this was the answer that is delivered. */
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
     * Records a failure towards ejection of the backend server.
     *
     * @param reason the cause that is audited if the backend server is ejected
     */
    private void recordFailure(ServerState server, String reason, long now, DecisionSink sink) {
        ServiceState service = services.serviceOf(server.identity());
        if (service != null) {
            long revision = services.configuration().revision();
            Ejection.INSTANCE.recordFailure(server, service.servers(), reason, now, revision, sink);
        }
    }

    /**
     * Records a failure of the backend server of an attempt that was sent and is still unanswered at its call's
     * deadline.
     */
    void recordUnanswered(AttemptState attempt, long now) {
        if (!attempt.ended() && attempt.sentAt() != 0) {
            services.recordFailure(attempt.server(), now);
        }
    }
}
