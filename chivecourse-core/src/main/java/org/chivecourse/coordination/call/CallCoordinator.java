package org.chivecourse.coordination.call;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.chivecourse.configuration.model.CallerRoute;
import org.chivecourse.coordination.configuration.ConfigurationStatus;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.fleet.FleetPeers;
import org.chivecourse.coordination.forward.ForwardingPeers;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.coordination.limit.RequestPermits;
import org.chivecourse.coordination.ownership.KeyOwnership;
import org.chivecourse.coordination.poison.PoisonRequests;
import org.chivecourse.coordination.reservation.Reservations;
import org.chivecourse.coordination.reservation.SlotStatistics;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.call.CallTerms;

/** Coordinates all calls of this host from arrival to final answer. */
public final class CallCoordinator {

    /** A whole in percent. */
    private static final long PERCENT = 100;

    /**
     * The time for which an answer on a host-name route may go on after the deadline of its call, in nanoseconds. Its
     * caller waits until the deadline; the rest covers slow links.
     */
    private static final long ANSWER_OVERTIME_NANOSECONDS = 5_000_000_000L;

    /**
     * The time for which any other answer may go on after the deadline of its call, in nanoseconds. There, the deadline
     * only limits the time to the start of an answer that may be large.
     */
    private static final long LONG_ANSWER_OVERTIME_NANOSECONDS = 3_600_000_000_000L;

    /** The factor by which calls that other gateways forwarded may be fewer than this gateway's own. */
    private static final int FORWARDED_SHARE_DIVISOR = 2;

    /** The settings of this host. */
    private final HostSettings settings;

    /** The services of the configuration in force. */
    private final ServiceRegistry services;

    /** The calls with an idempotency key, of which at most one duplicate runs over all hosts. */
    private final KeyedCalls keyedCalls;

    /** The calls without a final answer and their attempts. */
    private final OpenCalls openCalls = new OpenCalls();

    /** Ends calls with the gateway's own answers. */
    private final FinalAnswers finalAnswers;

    /** Starts attempts. */
    private final AttemptLauncher launcher;

    /** The time that is left for calls while the gateway stops. */
    private final GracefulStop stop = new GracefulStop();

    /** Decides how calls without an open attempt continue. */
    private final CallContinuation continuation;

    /** Handles the outcomes of attempts. */
    private final AttemptOutcomeHandler attemptOutcomes;

    /** The requests that are suspected or blocked because backend servers crashed while running them. */
    private final PoisonRequests poisonRequests;

    /** Finds the backend servers that ended while they ran a request. */
    private final CrashDetector crashDetector;

    /**
     * Creates a coordinator without calls.
     *
     * @param ownership ensures that the request of a key runs at most once over all hosts
     * @param forwardingPeers the other gateways that take calls which this one cannot send
     * @param poisonRequests the requests that are suspected or blocked because backend servers crashed on them
     * @param peers the other gateways of the fleet
     */
    public CallCoordinator(
            HostSettings settings,
            ServiceRegistry services,
            KeyOwnership ownership,
            ForwardingPeers forwardingPeers,
            PoisonRequests poisonRequests,
            FleetPeers peers,
            RandomGenerator random) {
        this.settings = settings;
        this.services = services;
        this.poisonRequests = poisonRequests;
        SlotStatistics slotStatistics = new SlotStatistics();
        finalAnswers = new FinalAnswers(services, openCalls, ownership, slotStatistics, random);
        RequestPermits permits = new RequestPermits(random);
        ServerSelector selector = new ServerSelector(settings.policy(), random);
        launcher = new AttemptLauncher(openCalls, selector, poisonRequests, permits, forwardingPeers);
        SuspectedCalls suspectedCalls =
                new SuspectedCalls(settings.name(), poisonRequests, forwardingPeers, launcher, finalAnswers);
        boolean reserving = settings.fleet().enabled() && settings.policy().reservesSlots();
        continuation = new CallContinuation(
                services,
                finalAnswers,
                launcher,
                poisonRequests,
                suspectedCalls,
                stop,
                calls -> new Reservations(reserving, peers, services, selector, calls, slotStatistics, random));
        keyedCalls = new KeyedCalls(openCalls, finalAnswers, ownership, continuation::start);
        crashDetector = new CrashDetector(services, poisonRequests);
        attemptOutcomes = new AttemptOutcomeHandler(
                services,
                openCalls,
                finalAnswers,
                continuation,
                keyedCalls,
                poisonRequests,
                suspectedCalls,
                crashDetector,
                permits);
    }

    /**
     * Accepts or refuses a request that arrived, and starts its call.
     *
     * @param status what this gateway knows of the configuration
     */
    public void handleArrival(Event.CallArrived event, ConfigurationStatus status, long now, DecisionSink sink) {
        Arrival arrival = event.arrival();
        boolean serving = status != ConfigurationStatus.NONE;
        CallerRoute route = services.route(arrival);
        Optional<ServiceState> found = serving ? services.serviceFor(arrival, route) : Optional.empty();
        Reason refusal = found.isPresent() ? refusalReason(arrival, found.orElseThrow(), now) : status.unknownRoute();
        if (refusal != null) {
            finalAnswers.refuse(event.call(), refusal, arrival, found.orElse(null), sink);
            return;
        }
        ServiceState service = found.orElseThrow();
        CallTerms terms = route == null
                ? CallTermsFactory.create(service.service(), arrival, now)
                : CallTermsFactory.create(
                        route, service.service(), arrival, elapsedNanoseconds(service, route, arrival), now);
        CallState call = new CallState(event.call(), terms);
        openCalls.add(call);
        if (!terms.forwarded()) {
            service.retryBudget().recordArrival(now);
        }
        service.arrivalRates().recordArrival(terms.rank(), now);
        if (terms.key().isEmpty() || terms.idempotent()) {
            continuation.attemptOrQueue(service, call, now, sink);
            return;
        }
        keyedCalls.requestKey(call, arrival.keyAgeNanoseconds(), now, sink);
    }

    /** Returns the time for which the caller of a request has surely been trying, in nanoseconds. */
    private static long elapsedNanoseconds(ServiceState service, CallerRoute route, Arrival arrival) {
        return service.callerElapsedTimes().record(route.name(), arrival.remainingNanoseconds());
    }

    /**
     * Returns why a request is refused on arrival, or {@code null} if it is accepted.
     *
     * @param service the service of the request
     */
    private Reason refusalReason(Arrival arrival, ServiceState service, long now) {
        if (poisonRequests.refuses(arrival.fingerprint(), now)) {
            return Reason.CONVICTED;
        }
        int ownShare = service.service().priority().openCallSharePercent();
        int share = arrival.forwardedAttempts() > 0 ? ownShare / FORWARDED_SHARE_DIVISOR : ownShare;
        return openCalls.size() * PERCENT >= (long) settings.maximumCalls() * share ? Reason.QUEUE_FULL : null;
    }

    /** Ends the call of a caller that disconnected. Ignored if the call already has its final answer. */
    public void handleCallerDisconnect(long identifier, long now, DecisionSink sink) {
        CallState call = openCalls.call(identifier);
        if (call == null) {
            return;
        }
        finalAnswers.finish(call, now, sink);
        continuation.launchWaiting(call, now, sink);
    }

    /** Abandons the calls whose deadline has passed and starts the attempts and hedges that are due. */
    public void advanceTime(long now, DecisionSink sink) {
        keyedCalls.advanceTime(now, sink);
        CallState call = openCalls.pollExpired(now);
        while (call != null) {
            if (call.phase() != CallPhase.DELIVERING) {
                call.attempts().forEach(attempt -> attemptOutcomes.recordUnanswered(attempt, now));
                finalAnswers.abandon(call, Reason.DEADLINE_PASSED, now, sink);
                continuation.launchWaiting(call, now, sink);
            } else {
                openCalls.limitDelivery(call, call.terms().deadline() + maximumOvertime(call.terms()));
            }
            call = openCalls.pollExpired(now);
        }
        endOverdueDeliveries(now, sink);
        useAvailableCapacity(now, sink);
        if (stop.finalAnswersDue(now)) {
            answerOpenCalls(now, sink);
        }
    }

    /**
     * Begins a stop: refuses the waiting calls that no backend server can answer before the connections are closed.
     *
     * @param closeAfterNanoseconds the time until the connections are closed, zero if it is not known
     */
    public void beginStop(long closeAfterNanoseconds, long now, DecisionSink sink) {
        if (closeAfterNanoseconds > 0) {
            stop.begin(closeAfterNanoseconds, now);
            useAvailableCapacity(now, sink);
        }
    }

    /** Gives their final answers to the calls whose answers have not started, because the gateway is about to close. */
    private void answerOpenCalls(long now, DecisionSink sink) {
        for (CallState call : openCalls.all()) {
            if (call.phase() != CallPhase.DELIVERING) {
                finalAnswers.abandon(call, Reason.STOPPING, now, sink);
            }
        }
    }

    /** Cuts the answers that go on for too long after the deadline of their call. */
    private void endOverdueDeliveries(long now, DecisionSink sink) {
        CallState call = openCalls.pollOverdueDelivery(now);
        while (call != null) {
            finalAnswers.finish(call, now, sink);
            continuation.launchWaiting(call, now, sink);
            call = openCalls.pollOverdueDelivery(now);
        }
    }

    /** Returns the time for which an answer may go on after the deadline of its call, in nanoseconds. */
    private static long maximumOvertime(CallTerms terms) {
        return terms.route().isEmpty() ? LONG_ANSWER_OVERTIME_NANOSECONDS : ANSWER_OVERTIME_NANOSECONDS;
    }

    /**
     * Abandons waiting calls that are blocked or too late, and starts attempts and hedges wherever backend servers have
     * room.
     */
    public void useAvailableCapacity(long now, DecisionSink sink) {
        for (ServiceState service : services.all()) {
            continuation.updateSuspected(service, now, sink);
            continuation.abandonEvacuated(service, now, sink);
            continuation.abandonLate(service, now, sink);
            continuation.abandonBeyondRest(service, now, sink);
            continuation.abandonBeyondLimits(service, now, sink);
            continuation.abandonBeyondStop(service, now, sink);
            launcher.launchWaiting(service, now, sink);
            launcher.launchHedges(service, reservations(), now, sink);
        }
        continuation.reservations().advanceTime(now, sink);
    }

    /** Returns the slots that are reserved for calls. */
    public Reservations reservations() {
        return continuation.reservations();
    }

    /** Returns the detector of backend servers that ended while they ran a request. */
    public CrashDetector crashDetector() {
        return crashDetector;
    }

    /** Returns the handler of the outcomes of attempts. */
    public AttemptOutcomeHandler attemptOutcomes() {
        return attemptOutcomes;
    }

    /** Returns the calls with an idempotency key, of which at most one duplicate runs over all hosts. */
    public KeyedCalls keyedCalls() {
        return keyedCalls;
    }

    /** Returns the requests that are suspected or blocked because backend servers crashed while running them. */
    public PoisonRequests poisonRequests() {
        return poisonRequests;
    }

    /** Returns the number of calls without a final answer. */
    public int openCallCount() {
        return openCalls.size();
    }
}
