package org.chivecourse.coordination.call;

import java.util.ArrayList;
import java.util.List;
import org.chivecourse.coordination.choice.FinishEstimate;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.forward.ForwardingPeers;
import org.chivecourse.coordination.limit.RequestPermits;
import org.chivecourse.coordination.poison.PoisonRequests;
import org.chivecourse.coordination.reservation.Reservations;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.server.ServerState;

/** Starts attempts of calls, retries and hedges at the backend servers that the selector picks. */
final class AttemptLauncher {

    /** Converts a factor to percent. */
    private static final double PERCENT = 100;

    /** The number of backend servers that a call could not be connected to, after which it is forwarded. */
    private static final int UNSENT_ATTEMPTS_TO_FORWARD = 2;

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

    /** The calls without a final answer and their attempts. */
    private final OpenCalls openCalls;

    /** Selects the backend server of each attempt. */
    private final ServerSelector selector;

    /** Holds the suspected requests, which run only at backend servers without other requests of this host. */
    private final PoisonRequests poisonRequests;

    /** The permits that backend servers with a request limit require. */
    private final RequestPermits permits;

    /** The other gateways that take calls which this one cannot send. */
    private final ForwardingPeers forwardingPeers;

    /** Creates a launcher. */
    AttemptLauncher(
            OpenCalls openCalls,
            ServerSelector selector,
            PoisonRequests poisonRequests,
            RequestPermits permits,
            ForwardingPeers forwardingPeers) {
        this.openCalls = openCalls;
        this.selector = selector;
        this.poisonRequests = poisonRequests;
        this.permits = permits;
        this.forwardingPeers = forwardingPeers;
    }

    /**
     * Starts an attempt of a call and returns {@code true}, or returns {@code false} if no backend server may take the
     * request now. The call is forwarded if this gateway's links are what keeps it from being sent.
     */
    boolean tryLaunch(ServiceState service, CallState call, long now, DecisionSink sink) {
        ServerState peer = forwardingPeer(service, call, now);
        if (peer != null) {
            forward(call, peer, now, sink);
            return true;
        }
        ServerState server = selector.select(service, call, now);
        if (server == null) {
            return false;
        }
        launchNext(service, call, server, now, sink);
        return true;
    }

    /** Returns whether a call has to be forwarded to another gateway since this one's links fail. */
    boolean mustForward(ServiceState service, CallState call, long now) {
        return forwardingPeer(service, call, now) != null;
    }

    /**
     * Starts an attempt of a call at the backend server of a reserved slot.
     *
     * @return the attempt, {@code null} if that backend server may not take the call
     */
    AttemptState launchReserved(ServiceState service, CallState call, ServerState server, long now, DecisionSink sink) {
        if (mustForward(service, call, now) || !selector.mayUse(service, server, now)) {
            return null;
        }
        selector.beginSelection(service, call, now);
        return launchNext(service, call, server, now, sink);
    }

    /**
     * Starts an attempt of a call at a backend server of this data centre that limits what each gateway may send, and
     * returns {@code true}, or returns {@code false} if this one may not send to any.
     */
    boolean tryLaunchLimited(ServiceState service, CallState call, long now, DecisionSink sink) {
        ServerState server = selector.selectLimited(service, call, now);
        if (server == null) {
            return false;
        }
        launchNext(service, call, server, now, sink);
        return true;
    }

    /**
     * Returns the gateway that a call is forwarded to, or {@code null} if it is not forwarded. A call is forwarded at
     * most once on its way.
     */
    private ServerState forwardingPeer(ServiceState service, CallState call, long now) {
        boolean linksFail = service.links().lost() || call.unreachableAttemptCount() >= UNSENT_ATTEMPTS_TO_FORWARD;
        return linksFail && !call.terms().forwarded() ? forwardingPeers.choose(call, now) : null;
    }

    /** Forwards a call to another gateway, which gets the attempts that the call has left. */
    void forward(CallState call, ServerState peer, long now, DecisionSink sink) {
        int attemptsLeft = Math.max(1, call.terms().maximumAttempts() - call.sentAttemptCount());
        Decision.Basis basis =
                new Decision.Basis("forward", 0, peer.ownInFlight() + 1, 0, -1, peer.incarnation(), call.slotWay());
        AttemptState attempt = openCalls.startAttempt(call, peer, peer.ownInFlight() + 1, now);
        attempt.recordForwarding();
        sink.decide(new Decision.Send(
                call.identifier(),
                attempt.identifier(),
                peer.identity(),
                call.terms().deadline(),
                call.attempts().size(),
                basis,
                attemptsLeft));
    }

    /** Starts the first attempt of a call, or the next one after those that failed, at a selected backend server. */
    private AttemptState launchNext(
            ServiceState service, CallState call, ServerState server, long now, DecisionSink sink) {
        service.sendRate().recordRequest(now);
        return launch(call, server, call.attempts().isEmpty() ? "first" : "again", now, sink);
    }

    /**
     * Starts an attempt of a call at the given backend server and records what the choice was based on.
     *
     * @param purpose why the request is sent: {@code first}, {@code again}, {@code alone} or {@code hedge}
     */
    private AttemptState launch(CallState call, ServerState server, String purpose, long now, DecisionSink sink) {
        double inFlight = selector.inFlight(server);
        Decision.Basis basis = new Decision.Basis(
                purpose,
                selector.candidateCount(),
                inFlight,
                (int) (PERCENT * FinishEstimate.slowness(server, now)),
                server.hasReport() ? (now - server.reportedAt()) / NANOSECONDS_PER_MILLISECOND : -1,
                server.incarnation(),
                call.slotWay());
        AttemptState attempt = openCalls.startAttempt(call, server, inFlight, now);
        permits.acquire(attempt, now);
        sink.decide(new Decision.Send(
                call.identifier(),
                attempt.identifier(),
                server.identity(),
                call.terms().deadline(),
                call.attempts().size(),
                basis,
                0));
        return attempt;
    }

    /**
     * Starts attempts of the calls that wait for a service, suspected ones first, until no backend server may take the
     * next one. A call that still waits for room nearby does not hold up those behind it, which may leave.
     */
    void launchWaiting(ServiceState service, long now, DecisionSink sink) {
        launchSuspected(service, now, sink);
        List<CallState> postponed = new ArrayList<>();
        boolean launching = true;
        while (launching && service.waitingCalls().size() > 0) {
            CallState call = service.waitingCalls().poll();
            if (!tryLaunch(service, call, now, sink)) {
                postponed.add(call);
                launching = NearbySelection.waitsForRoom(service, call, now);
            }
        }
        postponed.forEach(service.waitingCalls()::offer);
    }

    /**
     * Starts the attempt of a suspected call if the backend server that is reserved for it has no other request of this
     * host.
     */
    private void launchSuspected(ServiceState service, long now, DecisionSink sink) {
        CallState suspected = service.quarantine().pollReady(service.serversInUse(), poisonRequests, now);
        if (suspected != null) {
            selector.beginSelection(service, suspected, now);
            AttemptState attempt = launch(suspected, service.quarantine().reserved(), "alone", now, sink);
            service.quarantine().recordStart(attempt);
        }
    }

    /**
     * Starts a second attempt of each call that has waited for its answer longer than is typical, unless other calls
     * wait for a backend server or the retry budget is spent. A call that gets no hedge when it is due gets none later.
     */
    void launchHedges(ServiceState service, Reservations reservations, long now, DecisionSink sink) {
        launchHedgesOfCandidates(service, reservations, now, sink);
        CallState call = service.hedgeSchedule().pollDue(now);
        while (call != null) {
            boolean noneWaiting = service.waitingCalls().size() == 0;
            boolean mayHedge = call.phase() == CallPhase.ATTEMPTING
                    && !poisonRequests.suspected(call.terms().fingerprint(), now)
                    && call.openAttemptCount() == 1
                    && call.sentAttemptCount() < call.terms().maximumAttempts();
            ServerState server = noneWaiting && mayHedge ? selector.selectIdle(service, call, now) : null;
            if (server != null && service.retryBudget().spend(now)) {
                launch(call, server, "hedge", now, sink);
            }
            call = service.hedgeSchedule().pollDue(now);
        }
    }

    /** Returns whether a call may get a second attempt beside its open one. */
    private boolean mayHedge(CallState call, long now) {
        return !poisonRequests.suspected(call.terms().fingerprint(), now)
                && call.openAttemptCount() == 1
                && call.sentAttemptCount() < call.terms().maximumAttempts();
    }

    /** Returns whether a backend server's slowness exceeds that of an attempt's one by less than one. */
    private static boolean fastEnough(ServerState server, AttemptState attempt, long now) {
        return FinishEstimate.slowness(server, now) < FinishEstimate.slowness(attempt.server(), now) + 1;
    }

    /**
     * Starts a second attempt of a call at the backend server of a reserved slot.
     *
     * @return the attempt, {@code null} if the call needs none any more or that backend server would not help
     */
    AttemptState launchReservedHedge(
            ServiceState service, CallState call, ServerState server, long now, DecisionSink sink) {
        boolean possible = call.phase() == CallPhase.ATTEMPTING
                && mayHedge(call, now)
                && !call.hasTried(server)
                && selector.mayUse(service, server, now)
                && call.attempts().stream().allMatch(attempt -> fastEnough(server, attempt, now))
                && service.retryBudget().spend(now);
        if (!possible) {
            return null;
        }
        selector.beginSelection(service, call, now);
        return launch(call, server, "hedge", now, sink);
    }

    /**
     * Starts a second attempt of each hedge candidate that is due, if the slowness of the other backend server exceeds
     * that of the present one by less than one. Candidates that get no hedge now are put back.
     */
    private void launchHedgesOfCandidates(
            ServiceState service, Reservations reservations, long now, DecisionSink sink) {
        if (service.waitingCalls().size() > 0) {
            return;
        }
        List<AttemptState> postponed = new ArrayList<>();
        AttemptState attempt = service.hedgeCandidates().pollDue(service.workTimes(), now);
        while (attempt != null) {
            boolean open = mayHedge(attempt.call(), now);
            if (open && !launchHedge(service, reservations, attempt, now, sink)) {
                postponed.add(attempt);
            }
            attempt = service.hedgeCandidates().pollDue(service.workTimes(), now);
        }
        postponed.forEach(service.hedgeCandidates()::putBack);
    }

    /**
     * Starts a second attempt beside an open one and returns {@code true}. Returns {@code false} if no backend server
     * is idle enough and no gateway takes the call, or a slot is requested first.
     */
    private boolean launchHedge(
            ServiceState service, Reservations reservations, AttemptState attempt, long now, DecisionSink sink) {
        CallState call = attempt.call();
        ServerState peer = forwardingPeer(service, call, now);
        if (peer == null && reservations.requestHedge(service, call, now, sink)) {
            return false;
        }
        ServerState server = selector.selectIdle(service, call, now);
        if (server != null
                && fastEnough(server, attempt, now)
                && service.retryBudget().spend(now)) {
            launch(call, server, "hedge", now, sink);
            return true;
        }
        if (server == null && peer != null && service.retryBudget().spend(now)) {
            forward(call, peer, now, sink);
            return true;
        }
        return false;
    }
}
