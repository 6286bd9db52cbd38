package org.chivecourse.coordination.call;

import org.chivecourse.coordination.choice.FinishEstimate;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.ejection.Ejection;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.poison.PoisonRegister;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallTerms;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/** Decides what follows from what becomes of attempts, and learns from it. */
public final class AttemptOutcomes {

    /** The least status code of a server's errors. */
    private static final int SERVER_ERRORS = 500;

    /** The services of the configuration in force. */
    private final ServiceRegister services;

    /** The calls and attempts. */
    private final CallLedger ledger;

    /** Gives final answers. */
    private final FinalAnswers answers;

    /** Decides what happens next to calls. */
    private final CallContinuation continuation;

    /** The requests of which at most one copy runs over all hosts. */
    private final KeyedCalls keyed;

    /** The requests that crash backend servers. */
    private final PoisonRegister poison;

    /**
     * Creates outcomes.
     *
     * @param services the services of the configuration in force
     * @param ledger the calls and attempts
     * @param answers gives final answers
     * @param continuation decides what happens next to calls
     * @param keyed the requests of which at most one copy runs over all hosts
     * @param poison the requests that crash backend servers
     */
    AttemptOutcomes(
            ServiceRegister services,
            CallLedger ledger,
            FinalAnswers answers,
            CallContinuation continuation,
            KeyedCalls keyed,
            PoisonRegister poison) {
        this.services = services;
        this.ledger = ledger;
        this.answers = answers;
        this.continuation = continuation;
        this.keyed = keyed;
        this.poison = poison;
    }

    /**
     * Decides, as the last step before a request is handed to a connection, whether it still may be.
     *
     * @param identifier the identifier of the attempt
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void ready(long identifier, long now, DecisionSink sink) {
        AttemptState attempt = ledger.attempt(identifier);
        if (attempt == null || attempt.call().phase() != CallPhase.ATTEMPTING) {
            sink.decide(new Decision.Withdraw(identifier));
            return;
        }
        boolean late = attempt.call().terms().deadline() - now <= 0;
        boolean leaving = attempt.server().leavingCause() != LeavingCause.NONE || gone(attempt.server());
        if (late || leaving) {
            sink.decide(new Decision.Withdraw(identifier));
            unsent(new Event.AttemptUnsent(identifier, late ? "deadline passed" : "backend server leaves"), now, sink);
            return;
        }
        attempt.recordSending(now);
        services.noteHanded(attempt.server(), now);
        ServiceState service = services.service(attempt.call().terms().service());
        if (service != null && attempt.call().terms().route().isEmpty()) {
            service.hedges().sent(attempt);
        } else if (service != null) {
            service.open().sent(attempt);
        }
        sink.decide(new Decision.Proceed(identifier));
    }

    /**
     * Returns whether a backend server has been taken out.
     *
     * @param server the backend server
     * @return {@code true} if no service has it any more
     */
    private boolean gone(ServerState server) {
        return services.server(server.identity()) != server;
    }

    /**
     * Handles an attempt that ended before any byte was handed to a connection.
     *
     * @param event the attempt and what happened
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void unsent(Event.AttemptUnsent event, long now, DecisionSink sink) {
        AttemptState attempt = ledger.end(event.attempt());
        if (attempt == null) {
            return;
        }
        if (attempt.server().leavingCause() == LeavingCause.NONE && attempt.sentAt() == 0) {
            services.noteUnreachable(attempt.server(), now);
            failed(attempt.server(), event.reason(), now, sink);
        }
        refund(attempt, now);
        if (attempt.call().phase() == CallPhase.ATTEMPTING) {
            continuation.againOrGiveUp(attempt.call(), Reason.NO_CONNECTION, now, sink);
        }
        continuation.pump(attempt.call(), now, sink);
    }

    /**
     * Gives the repeat back that an attempt took from the budget, since it reached no backend server.
     *
     * @param attempt the attempt
     * @param now the time in nanoseconds
     */
    private void refund(AttemptState attempt, long now) {
        ServiceState service = services.service(attempt.call().terms().service());
        if (service != null && attempt.call().attemptsSent() > 0) {
            service.retries().refund(now);
        }
    }

    /**
     * Handles an attempt that ended after bytes were handed to a connection and before its answer was whole.
     *
     * @param event the attempt and what happened
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void broken(Event.AttemptBroken event, long now, DecisionSink sink) {
        AttemptState attempt = ledger.end(event.attempt());
        if (attempt == null) {
            return;
        }
        services.noteFailure(attempt.server(), now);
        failed(attempt.server(), event.reason(), now, sink);
        if (attempt.call().phase() == CallPhase.ATTEMPTING) {
            suspect(attempt, now, sink);
            continuation.againOrGiveUp(attempt.call(), Reason.CONNECTION_BROKEN, now, sink);
        } else if (attempt.call().phase() == CallPhase.DELIVERING) {
            answers.finish(attempt.call(), now, sink);
        }
        continuation.pump(attempt.call(), now, sink);
    }

    /**
     * Handles the header of an answer.
     *
     * @param event the attempt and what the header says
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void answerStarted(Event.AnswerStarted event, long now, DecisionSink sink) {
        AttemptState attempt = ledger.attempt(event.attempt());
        if (attempt == null) {
            sink.decide(new Decision.Drop(event.attempt()));
            return;
        }
        if (attempt.call().phase() != CallPhase.ATTEMPTING) {
            return;
        }
        learn(attempt.server(), event.answer(), now, sink);
        if (event.answer().refused()) {
            refused(attempt, event.answer(), now, sink);
            return;
        }
        if (event.answer().status() >= SERVER_ERRORS) {
            services.noteFailure(attempt.server(), now);
            failed(attempt.server(), "status " + event.answer().status(), now, sink);
            if (goesAgain(attempt, now, sink)) {
                return;
            }
        } else {
            succeeded(attempt, now);
        }
        poison.answered(attempt.call().terms().fingerprint());
        attempt.call().enterPhase(CallPhase.DELIVERING);
        ledger.dropOthers(attempt.call(), attempt, sink);
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
    private boolean goesAgain(AttemptState attempt, long now, DecisionSink sink) {
        CallTerms terms = attempt.call().terms();
        if (terms.route().isEmpty() || !terms.idempotent()) {
            return false;
        }
        boolean others = attempt.call().attemptsOpen() > 1;
        if (!others && !continuation.mayGoAgain(attempt.call(), now)) {
            return false;
        }
        ledger.end(attempt.identifier());
        sink.decide(new Decision.Drop(attempt.identifier()));
        ServiceState service = services.service(terms.service());
        if (!others && service != null) {
            continuation.attemptOrWait(service, attempt.call(), now, sink);
        }
        return true;
    }

    /**
     * Learns from an answer.
     *
     * @param attempt the attempt
     * @param now the time in nanoseconds
     */
    private void succeeded(AttemptState attempt, long now) {
        long taken = now - attempt.sentAt();
        attempt.server().recordResponse(taken, attempt.inFlight());
        attempt.server().condition().recordSuccess(now);
        CallTerms terms = attempt.call().terms();
        ServiceState service = services.service(terms.service());
        if (service == null) {
            return;
        }
        service.hedges().answered(taken);
        if (!terms.route().isEmpty()) {
            double slowness = Math.max(1, FinishEstimate.slowness(attempt.server(), now));
            double usual = service.work().nanoseconds(terms.route(), terms.targetLatencyNanoseconds());
            attempt.server().condition().recordResponseTimeRatio(taken / slowness / usual, now);
            service.work().took(terms.route(), Math.min(taken / slowness, 2 * usual));
        }
    }

    /**
     * Records that a request's run coincided with a failure.
     *
     * @param attempt the attempt that failed
     * @param now the time in nanoseconds
     * @param sink receives the change
     */
    private void suspect(AttemptState attempt, long now, DecisionSink sink) {
        CallTerms terms = attempt.call().terms();
        ServiceState service = services.service(terms.service());
        boolean alone = service != null && service.quarantine().alone(attempt);
        services.noteCrash(terms.fingerprint(), attempt.server());
        if (poison.failed(terms.fingerprint(), attempt.server().identity(), alone, now)) {
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
    private void learn(ServerState server, Event.AnswerHead answer, long now, DecisionSink sink) {
        long revision = services.configuration().revision();
        if (answer.otherServer()) {
            services.leave(server.identity(), LeavingCause.REPLACED, revision, sink);
            return;
        }
        if (answer.report() != null && answer.refused()) {
            services.noteLoad(server, answer.report(), now);
        } else if (answer.report() != null) {
            services.noteLoadOnAnswer(server, answer.report(), now);
        }
        if (answer.leaving()) {
            LeavingCause cause = answer.refused() ? LeavingCause.REFUSAL : LeavingCause.HEADER;
            services.leave(server.identity(), cause, revision, sink);
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
    private void refused(AttemptState attempt, Event.AnswerHead answer, long now, DecisionSink sink) {
        attempt.recordRefusal();
        attempt.server().recordRefusal();
        ledger.end(attempt.identifier());
        sink.decide(new Decision.Drop(attempt.identifier()));
        continuation.againOrGiveUp(attempt.call(), Reason.REFUSED, now, sink);
        continuation.pump(attempt.call(), now, sink);
    }

    /**
     * Handles the end of an answer.
     *
     * @param identifier the identifier of the attempt
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void answerCompleted(long identifier, long now, DecisionSink sink) {
        AttemptState attempt = ledger.end(identifier);
        if (attempt == null) {
            return;
        }
        if (attempt.call().phase() == CallPhase.DELIVERING) {
            answers.finish(attempt.call(), now, sink);
            keyed.answered(attempt.call(), now);
        }
        continuation.pump(attempt.call(), now, sink);
    }

    /**
     * Counts a backend server's failure.
     *
     * @param server the backend server
     * @param reason what happened
     * @param now the time in nanoseconds
     * @param sink receives the change
     */
    private void failed(ServerState server, String reason, long now, DecisionSink sink) {
        ServiceState service = services.serviceOf(server.identity());
        if (service != null) {
            long revision = services.configuration().revision();
            Ejection.INSTANCE.failed(server, service.servers(), reason, now, revision, sink);
        }
    }

    /**
     * Counts the backend servers that left a call unanswered until its deadline.
     *
     * @param attempt an attempt of the call that is open
     * @param now the time in nanoseconds
     */
    void unanswered(AttemptState attempt, long now) {
        if (!attempt.ended() && attempt.sentAt() != 0) {
            services.noteFailure(attempt.server(), now);
        }
    }
}
