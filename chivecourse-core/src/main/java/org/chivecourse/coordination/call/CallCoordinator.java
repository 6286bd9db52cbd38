package org.chivecourse.coordination.call;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.chivecourse.configuration.model.CallerRoute;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.coordination.ownership.KeyOwnership;
import org.chivecourse.coordination.poison.PoisonRegister;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.call.CallTerms;

/** Decides the course of each call from its arrival to its end. */
public final class CallCoordinator {

    /** A hundred percent. */
    private static final long PERCENT = 100;

    /** What the core knows of its host. */
    private final HostSettings settings;

    /** The services of the configuration in force. */
    private final ServiceRegister services;

    /** The requests of which at most one copy runs over all hosts. */
    private final KeyedCalls keyed;

    /** The calls and attempts. */
    private final CallLedger ledger = new CallLedger();

    /** Gives final answers. */
    private final FinalAnswers answers;

    /** Starts attempts. */
    private final AttemptLauncher launcher;

    /** Decides what happens next to calls. */
    private final CallContinuation continuation;

    /** Decides what follows from what becomes of attempts. */
    private final AttemptOutcomes attempts;

    /** The requests that crash backend servers. */
    private final PoisonRegister poison;

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
        poison = new PoisonRegister();
        answers = new FinalAnswers(services, ledger, ownership, random);
        launcher = new AttemptLauncher(ledger, new ServerSelector(settings.policy(), random), poison);
        continuation = new CallContinuation(services, answers, launcher, poison);
        keyed = new KeyedCalls(ledger, answers, ownership, continuation::start);
        attempts = new AttemptOutcomes(services, ledger, answers, continuation, keyed, poison);
    }

    /**
     * Handles a request that arrived.
     *
     * @param event the call
     * @param serving whether the host knows enough to serve
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void arrive(Event.CallArrived event, boolean serving, long now, DecisionSink sink) {
        Arrival arrival = event.arrival();
        CallerRoute route = services.route(arrival);
        Optional<ServiceState> found = serving ? services.serviceFor(arrival, route) : Optional.empty();
        Reason refusal = serving ? refusalOf(arrival, found.orElse(null), now) : Reason.NO_CONFIGURATION;
        if (refusal != null) {
            answers.refuse(event.call(), refusal, arrival, found.orElse(null), sink);
            return;
        }
        ServiceState service = found.orElseThrow();
        CallTerms terms = route == null
                ? TermsOfCalls.of(service.service(), arrival, now)
                : TermsOfCalls.of(route, service.service(), arrival, now);
        CallState call = new CallState(event.call(), terms);
        ledger.add(call);
        service.retries().arrived(now);
        if (terms.key().isEmpty() || terms.idempotent()) {
            continuation.attemptOrWait(service, call, now, sink);
            return;
        }
        keyed.arrive(call, arrival.keyAgeNanoseconds(), now, sink);
    }

    /**
     * Returns why a request is refused at its arrival.
     *
     * @param arrival the request
     * @param service the service, {@code null} if there is none
     * @param now the time in nanoseconds
     * @return the reason, or {@code null} if it is accepted
     */
    private Reason refusalOf(Arrival arrival, ServiceState service, long now) {
        if (service == null) {
            return Reason.NO_SERVICE;
        }
        if (poison.convicted(arrival.fingerprint(), now)) {
            return Reason.CONVICTED;
        }
        int share = service.service().priority().queueSharePercent();
        return ledger.size() * PERCENT >= (long) settings.maximumCalls() * share ? Reason.QUEUE_FULL : null;
    }

    /**
     * Handles a caller that left.
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
        continuation.pump(call, now, sink);
    }

    /**
     * Gives up the calls whose deadline has passed and starts what is due.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void timePassed(long now, DecisionSink sink) {
        keyed.timePassed(now, sink);
        CallState call = ledger.pollExpired(now);
        while (call != null) {
            if (call.phase() != CallPhase.DELIVERING) {
                call.attempts().forEach(attempt -> attempts.unanswered(attempt, now));
                answers.giveUp(call, Reason.DEADLINE_PASSED, now, sink);
                continuation.pump(call, now, sink);
            }
            call = ledger.pollExpired(now);
        }
        capacityChanged(now, sink);
    }

    /**
     * Starts attempts and second copies wherever that became possible.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void capacityChanged(long now, DecisionSink sink) {
        for (ServiceState service : services.all()) {
            continuation.giveUpLate(service, now, sink);
            launcher.pump(service, now, sink);
            launcher.hedge(service, now, sink);
        }
    }

    /**
     * Returns what handles the outcomes of attempts.
     *
     * @return the outcomes
     */
    public AttemptOutcomes attempts() {
        return attempts;
    }

    /**
     * Returns the requests of which at most one copy runs over all hosts.
     *
     * @return the keyed calls
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
