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
import org.chivecourse.coordination.poison.PoisonRequests;
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
    private final KeyedCalls keyedCalls;

    /** The calls and attempts. */
    private final OpenCalls openCalls = new OpenCalls();

    /** Gives final answers. */
    private final FinalAnswers finalAnswers;

    /** Starts attempts. */
    private final AttemptLauncher launcher;

    /** Decides what happens next to calls. */
    private final CallContinuation continuation;

    /** Decides what follows from what becomes of attempts. */
    private final AttemptOutcomeHandler attemptOutcomes;

    /** The requests that crash backend servers. */
    private final PoisonRequests poisonRequests;

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
        poisonRequests = new PoisonRequests();
        finalAnswers = new FinalAnswers(services, openCalls, ownership, random);
        launcher = new AttemptLauncher(openCalls, new ServerSelector(settings.policy(), random), poisonRequests);
        continuation = new CallContinuation(services, finalAnswers, launcher, poisonRequests);
        keyedCalls = new KeyedCalls(openCalls, finalAnswers, ownership, continuation::start);
        attemptOutcomes =
                new AttemptOutcomeHandler(services, openCalls, finalAnswers, continuation, keyedCalls, poisonRequests);
    }

    /**
     * Handles a request that arrived.
     *
     * @param event the call
     * @param serving whether the host knows enough to serve
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void handleArrival(Event.CallArrived event, boolean serving, long now, DecisionSink sink) {
        Arrival arrival = event.arrival();
        CallerRoute route = services.route(arrival);
        Optional<ServiceState> found = serving ? services.serviceFor(arrival, route) : Optional.empty();
        Reason refusal = serving ? refusalReason(arrival, found.orElse(null), now) : Reason.NO_CONFIGURATION;
        if (refusal != null) {
            finalAnswers.refuse(event.call(), refusal, arrival, found.orElse(null), sink);
            return;
        }
        ServiceState service = found.orElseThrow();
        CallTerms terms = route == null
                ? CallTermsFactory.create(service.service(), arrival, now)
                : CallTermsFactory.create(route, service.service(), arrival, now);
        CallState call = new CallState(event.call(), terms);
        openCalls.add(call);
        service.retryBudget().recordArrival(now);
        if (terms.key().isEmpty() || terms.idempotent()) {
            continuation.attemptOrQueue(service, call, now, sink);
            return;
        }
        keyedCalls.requestKey(call, arrival.keyAgeNanoseconds(), now, sink);
    }

    /**
     * Returns why a request is refused at its arrival.
     *
     * @param arrival the request
     * @param service the service, {@code null} if there is none
     * @param now the time in nanoseconds
     * @return the reason, or {@code null} if it is accepted
     */
    private Reason refusalReason(Arrival arrival, ServiceState service, long now) {
        if (service == null) {
            return Reason.NO_SERVICE;
        }
        if (poisonRequests.blocked(arrival.fingerprint(), now)) {
            return Reason.CONVICTED;
        }
        int share = service.service().priority().queueSharePercent();
        return openCalls.size() * PERCENT >= (long) settings.maximumCalls() * share ? Reason.QUEUE_FULL : null;
    }

    /**
     * Handles a caller that left.
     *
     * @param identifier the identifier of the call
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void handleCallerDisconnect(long identifier, long now, DecisionSink sink) {
        CallState call = openCalls.call(identifier);
        if (call == null) {
            return;
        }
        finalAnswers.finish(call, now, sink);
        continuation.launchWaiting(call, now, sink);
    }

    /**
     * Gives up the calls whose deadline has passed and starts what is due.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void advanceTime(long now, DecisionSink sink) {
        keyedCalls.advanceTime(now, sink);
        CallState call = openCalls.pollExpired(now);
        while (call != null) {
            if (call.phase() != CallPhase.DELIVERING) {
                call.attempts().forEach(attempt -> attemptOutcomes.recordUnanswered(attempt, now));
                finalAnswers.abandon(call, Reason.DEADLINE_PASSED, now, sink);
                continuation.launchWaiting(call, now, sink);
            }
            call = openCalls.pollExpired(now);
        }
        useAvailableCapacity(now, sink);
    }

    /**
     * Starts attempts and second copies wherever that became possible.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void useAvailableCapacity(long now, DecisionSink sink) {
        for (ServiceState service : services.all()) {
            continuation.abandonLate(service, now, sink);
            launcher.launchWaiting(service, now, sink);
            launcher.launchHedges(service, now, sink);
        }
    }

    /**
     * Returns what handles the outcomes of attempts.
     *
     * @return the outcomes
     */
    public AttemptOutcomeHandler attemptOutcomes() {
        return attemptOutcomes;
    }

    /**
     * Returns the requests of which at most one copy runs over all hosts.
     *
     * @return the keyed calls
     */
    public KeyedCalls keyedCalls() {
        return keyedCalls;
    }

    /**
     * Returns the requests that crash backend servers.
     *
     * @return the register
     */
    public PoisonRequests poisonRequests() {
        return poisonRequests;
    }

    /**
     * Returns the number of calls that have no final answer yet.
     *
     * @return the number of calls
     */
    public int openCallCount() {
        return openCalls.size();
    }
}
