package org.chivecourse.coordination.call;

import java.util.random.RandomGenerator;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.ejection.Ejection;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.coordination.limit.ExpectedWait;
import org.chivecourse.coordination.ownership.KeyOwnership;
import org.chivecourse.coordination.poison.PoisonRegister;
import org.chivecourse.coordination.retry.RetryRule;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.call.CallTerms;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/** Leads each call from its arrival to one final answer. */
public final class CallCoordinator {

    /** The status from which an answer is a failure of the backend server. */
    private static final int SERVER_ERRORS = 500;

    /** The number of percent in a whole. */
    private static final long PERCENT = 100;

    /** What the core knows of its host. */
    private final HostSettings settings;

    /** The services of the configuration in force. */
    private final ServiceRegister services;

    /** The calls with a key. */
    private final KeyedCalls keyed;

    /** The calls without a final answer and their attempts. */
    private final CallLedger ledger = new CallLedger();

    /** Gives calls their final answers. */
    private final FinalAnswers answers;

    /** Starts attempts. */
    private final AttemptLauncher launcher;

    /** The requests that crash backend servers. */
    private final PoisonRegister poison = new PoisonRegister();

    /**
     * Creates a coordinator without calls.
     *
     * @param settings what the core knows of its host
     * @param services the services of the configuration in force
     * @param ownership the rule that the request of a key runs at most once over all hosts
     * @param random the source of randomness
     */
    public CallCoordinator(
            HostSettings settings, ServiceRegister services, KeyOwnership ownership, RandomGenerator random) {
        this.settings = settings;
        this.services = services;
        answers = new FinalAnswers(services, ledger, ownership);
        keyed = new KeyedCalls(ledger, answers, ownership, this::start);
        launcher = new AttemptLauncher(ledger, new ServerSelector(settings.policy(), random), poison);
    }

    /**
     * Accepts or refuses a call.
     *
     * @param event the call
     * @param serving whether the gateway serves yet
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void arrive(Event.CallArrived event, boolean serving, long now, DecisionSink sink) {
        ServiceState service = services.serviceFor(event.arrival().path()).orElse(null);
        Reason refusal = serving ? refusalOf(event.arrival(), service, now) : Reason.NO_CONFIGURATION;
        if (refusal != null) {
            answers.refuse(event.call(), refusal, event.arrival(), sink);
            return;
        }
        CallState call = new CallState(event.call(), TermsOfCalls.of(service.service(), event.arrival(), now));
        ledger.add(call);
        service.retries().earn();
        if (call.terms().key().isEmpty() || call.terms().idempotent()) {
            attemptOrWait(service, call, now, sink);
            return;
        }
        keyed.arrive(call, event.arrival().keyAgeNanoseconds(), now, sink);
    }

    /**
     * Returns why an arrival does not become a call.
     *
     * @param arrival what is known of the request
     * @param service the service, {@code null} if no service has the path
     * @param now the time in nanoseconds
     * @return the reason, or {@code null} if the arrival becomes a call
     */
    private Reason refusalOf(Arrival arrival, ServiceState service, long now) {
        if (service == null) {
            return Reason.NO_SERVICE;
        }
        if (poison.convicted(arrival.fingerprint(), now)) {
            return Reason.CONVICTED;
        }
        int share = service.service().priority().queueSharePercent();
        return ledger.size() * PERCENT >= (long) settings.largestCalls() * share ? Reason.QUEUE_FULL : null;
    }

    /**
     * Starts a call whose key this host holds.
     *
     * @param call the call
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void start(CallState call, long now, DecisionSink sink) {
        ServiceState service = services.service(call.terms().service());
        if (service == null) {
            answers.giveUp(call, Reason.NO_SERVICE, now, sink);
        } else {
            attemptOrWait(service, call, now, sink);
        }
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
        call.enter(CallPhase.WAITING);
        if (poison.suspected(call.terms().fingerprint(), now)) {
            if (!service.quarantine().offer(call)) {
                answers.giveUp(call, Reason.QUEUE_FULL, now, sink);
            }
            launcher.pump(service, now, sink);
            return;
        }
        if (launcher.launch(service, call, now, sink)) {
            return;
        }
        if (!ServerSelector.anyStaying(service)) {
            answers.giveUp(call, Reason.NO_SERVER, now, sink);
            return;
        }
        long wait = ExpectedWait.nanoseconds(service.waiting().size(), service.servers());
        if (now + wait - call.terms().deadline() > 0) {
            answers.giveUp(call, Reason.DEADLINE_UNREACHABLE, now, sink);
        } else if (!service.waiting().offer(call)) {
            answers.giveUp(call, Reason.QUEUE_FULL, now, sink);
        }
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
        ServiceState service = services.service(attempt.call().terms().service());
        if (service != null) {
            service.hedges().sent(attempt);
        }
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
            suspect(attempt, now, sink);
            againOrGiveUp(attempt.call(), Reason.CONNECTION_BROKEN, now, sink);
        } else if (attempt.call().phase() == CallPhase.DELIVERING) {
            answers.finish(attempt.call(), now, sink);
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
            failed(attempt.server(), "status " + event.answer().status(), now, sink);
        } else {
            succeeded(attempt, now);
        }
        poison.answered(attempt.call().terms().fingerprint());
        attempt.call().enter(CallPhase.DELIVERING);
        ledger.dropOthers(attempt.call(), attempt, sink);
        sink.decide(new Decision.Deliver(attempt.call().identifier(), attempt.identifier()));
    }

    /**
     * Records an answer that is no failure of its backend server.
     *
     * @param attempt the attempt
     * @param now the time in nanoseconds
     */
    private void succeeded(AttemptState attempt, long now) {
        long taken = now - attempt.sentAt();
        attempt.server().responded(taken, attempt.inFlight());
        ServiceState service = services.service(attempt.call().terms().service());
        if (service != null) {
            service.hedges().answered(taken);
        }
    }

    /**
     * Records that a request was in flight at a backend server that failed.
     *
     * @param attempt the attempt that broke
     * @param now the time in nanoseconds
     * @param sink receives the change if the request is convicted
     */
    private void suspect(AttemptState attempt, long now, DecisionSink sink) {
        CallTerms terms = attempt.call().terms();
        ServiceState service = services.service(terms.service());
        boolean alone = service != null && service.quarantine().alone(attempt);
        if (poison.failed(terms.fingerprint(), attempt.server().address(), alone, now)) {
            String name = terms.method() + " " + terms.path() + " " + Long.toHexString(terms.fingerprint());
            sink.decide(new Decision.Audit(new Decision.Change(
                    Decision.Subject.REQUEST_CONVICTED,
                    name,
                    "suspected",
                    "convicted",
                    "crashes of backend servers coincided with it, last "
                            + attempt.server().address(),
                    services.configuration().revision())));
        }
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
        attempt.server().refused();
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
            answers.finish(attempt.call(), now, sink);
            keyed.answered(attempt.call(), now);
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
        answers.finish(call, now, sink);
        pump(call, now, sink);
    }

    /**
     * Gives up every call whose deadline has passed.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void timePassed(long now, DecisionSink sink) {
        keyed.timePassed(now, sink);
        CallState call = ledger.pollExpired(now);
        while (call != null) {
            if (call.phase() != CallPhase.DELIVERING) {
                answers.giveUp(call, Reason.DEADLINE_PASSED, now, sink);
                pump(call, now, sink);
            }
            call = ledger.pollExpired(now);
        }
        capacityChanged(now, sink);
    }

    /**
     * Starts attempts of waiting calls wherever there is room, and second copies where they are due.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void capacityChanged(long now, DecisionSink sink) {
        for (ServiceState service : services.all()) {
            launcher.pump(service, now, sink);
            launcher.hedge(service, now, sink);
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
            launcher.pump(service, now, sink);
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
        boolean refused = poison.convicted(call.terms().fingerprint(), now);
        if (service != null && !refused && RetryRule.INSTANCE.allows(call, service.retries(), now)) {
            attemptOrWait(service, call, now, sink);
            return;
        }
        answers.giveUp(call, reason, now, sink);
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
        ServiceState service = services.serviceOf(server.address());
        if (service != null) {
            long revision = services.configuration().revision();
            Ejection.INSTANCE.failed(server, service.servers(), reason, now, revision, sink);
        }
    }

    /**
     * Returns the calls with a key.
     *
     * @return the calls with a key
     */
    public KeyedCalls keyed() {
        return keyed;
    }

    /**
     * Returns the requests that crash backend servers.
     *
     * @return the register
     */
    public PoisonRegister poison() {
        return poison;
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
