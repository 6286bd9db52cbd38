package org.chivecourse.coordination.call;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.decision.Outcome;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.ejection.Ejection;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.coordination.retry.RetryRule;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/** Leads each call from its arrival to one final answer. */
public final class CallCoordinator {

    /** The time after which a refused caller may come back, in seconds. */
    private static final int RETRY_AFTER_SECONDS = 1;

    /** What the core knows of its host. */
    private final HostSettings settings;

    /** The services of the configuration in force. */
    private final ServiceRegister services;

    /** Selects backend servers. */
    private final ServerSelector selector;

    /** The calls without a final answer and their attempts. */
    private final CallLedger ledger = new CallLedger();

    /**
     * Creates a coordinator without calls.
     *
     * @param settings what the core knows of its host
     * @param services the services of the configuration in force
     * @param random the source of randomness
     */
    public CallCoordinator(HostSettings settings, ServiceRegister services, RandomGenerator random) {
        this.settings = settings;
        this.services = services;
        selector = new ServerSelector(settings.policy(), random);
    }

    /**
     * Accepts or refuses a call.
     *
     * @param event the call
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void arrive(Event.CallArrived event, long now, DecisionSink sink) {
        Optional<ServiceState> service = services.serviceFor(event.arrival().path());
        if (service.isEmpty()) {
            boolean configured = services.configuration().revision() > 0;
            Reason reason = configured ? Reason.NO_SERVICE : Reason.NO_CONFIGURATION;
            refuse(event.call(), reason, event.arrival(), configured ? 0 : RETRY_AFTER_SECONDS, sink);
            return;
        }
        if (ledger.size() >= settings.largestCalls()) {
            refuse(event.call(), Reason.QUEUE_FULL, event.arrival(), RETRY_AFTER_SECONDS, sink);
            return;
        }
        CallState call =
                new CallState(event.call(), TermsOfCalls.of(service.get().service(), event.arrival(), now));
        ledger.add(call);
        service.get().retries().earn();
        attemptOrWait(service.get(), call, now, sink);
    }

    /**
     * Starts an attempt, or lets the call wait, or refuses it.
     *
     * @param service the service
     * @param call the call
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void attemptOrWait(ServiceState service, CallState call, long now, DecisionSink sink) {
        ServerState server = selector.select(service, call, now);
        if (server != null) {
            attempt(call, server, sink);
            return;
        }
        if (!ServerSelector.anyStaying(service)) {
            giveUp(call, Reason.NO_SERVER, sink);
            return;
        }
        call.enter(CallPhase.WAITING);
        if (!service.waiting().offer(call)) {
            giveUp(call, Reason.QUEUE_FULL, sink);
        }
    }

    /**
     * Starts an attempt.
     *
     * @param call the call
     * @param server the backend server
     * @param sink receives the decisions that follow
     */
    private void attempt(CallState call, ServerState server, DecisionSink sink) {
        AttemptState attempt = ledger.begin(call, server);
        sink.decide(new Decision.Send(
                call.identifier(),
                attempt.identifier(),
                server.address(),
                call.terms().deadline(),
                call.attempts().size()));
    }

    /**
     * Decides, as the last step before bytes are sent, whether an attempt still may proceed.
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
        boolean leaving = attempt.server().leaving() != LeavingCause.NONE;
        if (late || leaving) {
            sink.decide(new Decision.Withdraw(identifier));
            unsent(new Event.AttemptUnsent(identifier, late ? "deadline passed" : "backend server leaves"), now, sink);
            return;
        }
        attempt.proceed(now);
        sink.decide(new Decision.Proceed(identifier));
    }

    /**
     * Tries again or gives up after an attempt that sent nothing.
     *
     * @param event the attempt
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void unsent(Event.AttemptUnsent event, long now, DecisionSink sink) {
        AttemptState attempt = ledger.end(event.attempt());
        if (attempt == null) {
            return;
        }
        if (attempt.server().leaving() == LeavingCause.NONE) {
            failed(attempt.server(), event.reason(), now, sink);
        }
        if (attempt.call().phase() == CallPhase.ATTEMPTING) {
            againOrGiveUp(attempt.call(), Reason.NO_CONNECTION, now, sink);
        }
        pump(attempt.call(), now, sink);
    }

    /**
     * Tries again or gives up after an attempt that broke.
     *
     * @param event the attempt
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void broken(Event.AttemptBroken event, long now, DecisionSink sink) {
        AttemptState attempt = ledger.end(event.attempt());
        if (attempt == null) {
            return;
        }
        failed(attempt.server(), event.reason(), now, sink);
        if (attempt.call().phase() == CallPhase.ATTEMPTING) {
            againOrGiveUp(attempt.call(), Reason.CONNECTION_BROKEN, now, sink);
        } else if (attempt.call().phase() == CallPhase.DELIVERING) {
            finish(attempt.call(), sink);
        }
        pump(attempt.call(), now, sink);
    }

    /**
     * Passes an answer on, or tries again after a refusal.
     *
     * @param event the attempt and the header of its answer
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void answerStarted(Event.AnswerStarted event, long now, DecisionSink sink) {
        AttemptState attempt = ledger.attempt(event.attempt());
        if (attempt == null || attempt.call().phase() != CallPhase.ATTEMPTING) {
            sink.decide(new Decision.Drop(event.attempt()));
            return;
        }
        learn(attempt.server(), event.answer(), now, sink);
        if (event.answer().refused()) {
            refused(attempt, event.answer(), now, sink);
            return;
        }
        attempt.server().responded(now - attempt.sentAt());
        attempt.call().enter(CallPhase.DELIVERING);
        ledger.dropOthers(attempt.call(), attempt, sink);
        sink.decide(new Decision.Deliver(attempt.call().identifier(), attempt.identifier()));
    }

    /**
     * Records what the header of an answer says of its backend server.
     *
     * @param server the backend server
     * @param answer the header of the answer
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void learn(ServerState server, Event.AnswerHead answer, long now, DecisionSink sink) {
        if (answer.report() != null) {
            server.report(answer.report(), now);
        }
        if (answer.leaving()) {
            LeavingCause cause = answer.refused() ? LeavingCause.REFUSAL : LeavingCause.HEADER;
            services.leave(server.address(), cause, services.configuration().revision(), sink);
        }
    }

    /**
     * Tries again or gives up after a backend server refused a request.
     *
     * @param attempt the attempt
     * @param answer the header of the answer
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void refused(AttemptState attempt, Event.AnswerHead answer, long now, DecisionSink sink) {
        attempt.refused();
        ledger.end(attempt.identifier());
        sink.decide(new Decision.Drop(attempt.identifier()));
        againOrGiveUp(attempt.call(), Reason.REFUSED, now, sink);
        pump(attempt.call(), now, sink);
    }

    /**
     * Finishes the call of a whole answer.
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
            finish(attempt.call(), sink);
        }
        pump(attempt.call(), now, sink);
    }

    /**
     * Abandons the call of a caller that left.
     *
     * @param identifier the identifier of the call
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void callerLeft(long identifier, long now, DecisionSink sink) {
        CallState call = ledger.call(identifier);
        if (call == null) {
            return;
        }
        finish(call, sink);
        pump(call, now, sink);
    }

    /**
     * Gives up every call whose deadline has passed.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void timePassed(long now, DecisionSink sink) {
        CallState call = ledger.pollExpired(now);
        while (call != null) {
            boolean open = call.phase() == CallPhase.WAITING || call.phase() == CallPhase.ATTEMPTING;
            if (open) {
                giveUp(call, Reason.DEADLINE_PASSED, sink);
                pump(call, now, sink);
            }
            call = ledger.pollExpired(now);
        }
        capacityChanged(now, sink);
    }

    /**
     * Starts attempts of waiting calls wherever there is room.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void capacityChanged(long now, DecisionSink sink) {
        for (ServiceState service : services.all()) {
            pump(service, now, sink);
        }
    }

    /**
     * Starts attempts of calls that wait for the service of a call.
     *
     * @param call the call
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void pump(CallState call, long now, DecisionSink sink) {
        ServiceState service = services.service(call.terms().service());
        if (service != null) {
            pump(service, now, sink);
        }
    }

    /**
     * Starts attempts of calls that wait for a service.
     *
     * @param service the service
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void pump(ServiceState service, long now, DecisionSink sink) {
        while (service.waiting().size() > 0) {
            CallState call = service.waiting().poll();
            ServerState server = selector.select(service, call, now);
            if (server == null) {
                service.waiting().offer(call);
                return;
            }
            attempt(call, server, sink);
        }
    }

    /**
     * Starts another attempt of a call or gives it up.
     *
     * @param call the call
     * @param reason why the last attempt ended
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void againOrGiveUp(CallState call, Reason reason, long now, DecisionSink sink) {
        if (call.attemptsOpen() > 0) {
            return;
        }
        ServiceState service = services.service(call.terms().service());
        if (service != null && RetryRule.INSTANCE.allows(call, service.retries(), now)) {
            attemptOrWait(service, call, now, sink);
            return;
        }
        giveUp(call, reason, sink);
    }

    /**
     * Gives a call up and tells its caller at once.
     *
     * @param call the call
     * @param reason why
     * @param sink receives the decisions that follow
     */
    private void giveUp(CallState call, Reason reason, DecisionSink sink) {
        boolean notRun = call.provablyNotRun() && !mayRunElsewhere(call.terms().key());
        Outcome outcome = notRun ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        boolean again = notRun || call.terms().idempotent();
        finish(call, sink);
        Decision.Refusal refusal = new Decision.Refusal(outcome, reason, again ? RETRY_AFTER_SECONDS : 0);
        sink.decide(new Decision.Refuse(call.identifier(), refusal));
    }

    /**
     * Refuses an arrival that did not become a call.
     *
     * @param call the identifier of the call
     * @param reason why
     * @param arrival what is known of the request
     * @param retryAfterSeconds when a copy of the request makes sense, zero if it never does
     * @param sink receives the decision
     */
    private static void refuse(long call, Reason reason, Arrival arrival, int retryAfterSeconds, DecisionSink sink) {
        Outcome outcome = mayRunElsewhere(arrival.key()) ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        sink.decide(new Decision.Refuse(call, new Decision.Refusal(outcome, reason, retryAfterSeconds)));
    }

    /**
     * Returns whether another host may have run a copy of a request.
     *
     * @param key the idempotency key of the request, empty if the caller gave none
     * @return {@code true} for a request with a key, since no host knows what the others have run
     */
    private static boolean mayRunElsewhere(String key) {
        return !key.isEmpty();
    }

    /**
     * Finishes a call and drops its open attempts.
     *
     * @param call the call
     * @param sink receives the decisions that follow
     */
    private void finish(CallState call, DecisionSink sink) {
        if (call.phase() == CallPhase.WAITING) {
            ServiceState service = services.service(call.terms().service());
            if (service != null) {
                service.waiting().remove(call);
            }
        }
        ledger.finish(call, sink);
    }

    /**
     * Records a failure of a backend server.
     *
     * @param server the backend server
     * @param reason what happened
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void failed(ServerState server, String reason, long now, DecisionSink sink) {
        Ejection.INSTANCE.failed(server, reason, now, services.configuration().revision(), sink);
    }

    /**
     * Returns the number of calls that have no final answer yet.
     *
     * @return the number of calls
     */
    public int open() {
        return ledger.size();
    }
}
