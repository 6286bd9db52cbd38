package org.chivecourse.coordination.call;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.forward.ForwardingPeers;
import org.chivecourse.coordination.poison.PoisonRequests;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.server.ServerState;

/**
 * Decides how calls continue whose request is suspected of crashing backend servers.
 *
 * <p>Once several backend servers have ended, or may have ended, under a request, only one gateway of the fleet sends
 * it, one copy at a time. Other gateways forward their copies there. A good answer clears the request on all gateways,
 * and one more end blocks it.
 */
final class SuspectedCalls {

    /**
     * The number of failed backend servers from which only one copy of a request runs in the fleet. A call of a
     * host-name route runs alone from then on as well, since connections break too often there for a single failure to
     * count.
     */
    private static final int MINIMUM_FAILED_SERVERS_TO_ISOLATE = 2;

    /** The name of this gateway. */
    private final String ownName;

    /** The requests that are suspected or blocked because backend servers crashed while running them. */
    private final PoisonRequests poisonRequests;

    /** Elects the gateway that sends a suspected request. */
    private final ForwardingPeers forwardingPeers;

    /** Starts attempts. */
    private final AttemptLauncher launcher;

    /** Ends calls with the gateway's own answers. */
    private final FinalAnswers finalAnswers;

    /** Creates decisions about suspected calls. */
    SuspectedCalls(
            String ownName,
            PoisonRequests poisonRequests,
            ForwardingPeers forwardingPeers,
            AttemptLauncher launcher,
            FinalAnswers finalAnswers) {
        this.ownName = ownName;
        this.poisonRequests = poisonRequests;
        this.forwardingPeers = forwardingPeers;
        this.launcher = launcher;
        this.finalAnswers = finalAnswers;
    }

    /** Returns whether a call must run at a backend server without other requests of this host. */
    boolean mustRunAlone(CallState call, long now) {
        int minimumServers = call.terms().route().isEmpty() ? 1 : MINIMUM_FAILED_SERVERS_TO_ISOLATE;
        return hasFailedServers(call, minimumServers, now);
    }

    /** Returns whether only one copy of a call's request may run in the fleet. */
    private boolean mustBeOnlyCopy(CallState call, long now) {
        return hasFailedServers(call, MINIMUM_FAILED_SERVERS_TO_ISOLATE, now);
    }

    /** Returns whether a number of backend servers ended, or may have ended, under a call's request. */
    private boolean hasFailedServers(CallState call, int minimum, long now) {
        long fingerprint = call.terms().fingerprint();
        return poisonRequests.suspected(fingerprint, now) && poisonRequests.failedServerCount(fingerprint) >= minimum;
    }

    /** Returns the gateway that sends a call's request. */
    private String sender(CallState call, long now) {
        return mustBeOnlyCopy(call, now)
                ? forwardingPeers.electSender(call.terms().fingerprint())
                : ownName;
    }

    /**
     * Queues a call that must run alone, forwards it to the gateway that sends its request, or abandons it. A call that
     * may have ended a backend server, as another copy may have, is not sent to a further one.
     */
    void attemptOrQueue(ServiceState service, CallState call, long now, DecisionSink sink) {
        boolean otherCopiesFailed =
                poisonRequests.failedServerCount(call.terms().fingerprint()) > call.sentAttemptCount();
        if (otherCopiesFailed && !call.provablyNotRun()) {
            finalAnswers.abandon(call, Reason.CONVICTED, now, sink);
            return;
        }
        String sender = sender(call, now);
        if (!sender.equals(ownName)) {
            forwardOrAbandon(call, forwardingPeers.peer(sender), now, sink);
            return;
        }
        if (!service.quarantine().offer(call)) {
            finalAnswers.abandon(call, Reason.QUEUE_FULL, now, sink);
        }
        launcher.launchWaiting(service, now, sink);
    }

    /** Forwards a call to the gateway that sends its request, or abandons a call that was forwarded before. */
    private void forwardOrAbandon(CallState call, ServerState sender, long now, DecisionSink sink) {
        boolean takesCall = sender != null && !call.terms().forwarded() && !call.hasTried(sender);
        if (takesCall) {
            launcher.forward(call, sender, now, sink);
        } else {
            finalAnswers.abandon(call, Reason.SUSPECTED, now, sink);
        }
    }

    /**
     * Returns whether an attempt must not be sent, since its request must run alone and this is not the only copy, or
     * another gateway sends it.
     *
     * @param service the service of the attempt, {@code null} if there is none
     */
    boolean forbids(ServiceState service, AttemptState attempt, long now) {
        if (attempt.forwarded() || !mustRunAlone(attempt.call(), now)) {
            return false;
        }
        boolean alone = service != null && service.quarantine().runsAlone(attempt);
        return !alone
                || !poisonRequests.mayBeginTrial(attempt.call().terms().fingerprint())
                || !sender(attempt.call(), now).equals(ownName);
    }

    /** Records that an attempt is about to be sent, if it is the only copy of a suspected request. */
    void recordSending(AttemptState attempt, long now) {
        if (!attempt.forwarded() && mustBeOnlyCopy(attempt.call(), now)) {
            poisonRequests.beginTrial(
                    attempt.call().terms().fingerprint(), attempt.server().processName(), now);
        }
    }

    /** Abandons waiting calls whose request has become blocked since they began to wait. */
    void abandonBlocked(ServiceState service, long now, DecisionSink sink) {
        if (!poisonRequests.refusesAny(now)) {
            return;
        }
        CallState call = findBlocked(service, now);
        while (call != null) {
            finalAnswers.abandon(call, Reason.CONVICTED, now, sink);
            call = findBlocked(service, now);
        }
    }

    /** Returns a waiting call whose request is blocked, or {@code null} if there is none. */
    private CallState findBlocked(ServiceState service, long now) {
        Predicate<CallState> blocked =
                call -> poisonRequests.refuses(call.terms().fingerprint(), now);
        CallState suspected = service.quarantine().findFirst(blocked);
        return suspected != null ? suspected : service.waitingCalls().findFirst(blocked);
    }

    /**
     * Removes and returns the waiting calls that have become suspected, that are no longer suspected, or whose request
     * another gateway sends from now on, and audits each of them.
     */
    List<CallState> removeMisplaced(ServiceState service, long now, DecisionSink sink) {
        if (!poisonRequests.refusesAny(now)) {
            return List.of();
        }
        List<CallState> misplaced = new ArrayList<>();
        for (CallState call : service.waitingCalls().inOrder()) {
            if (mustRunAlone(call, now)) {
                misplaced.add(call);
                service.waitingCalls().remove(call);
            }
        }
        for (CallState call : service.quarantine().waiting()) {
            if (!sender(call, now).equals(ownName) || !mustRunAlone(call, now)) {
                misplaced.add(call);
                service.quarantine().remove(call);
            }
        }
        misplaced.forEach(call -> auditChange(call, now, sink));
        return misplaced;
    }

    /** Audits that a waiting call is sent in another way than was decided when it began to wait. */
    private void auditChange(CallState call, long now, DecisionSink sink) {
        String fingerprint = Long.toHexString(call.terms().fingerprint());
        String way = mustRunAlone(call, now) ? "alone" : "unsuspected";
        String cause = poisonRequests.failedServerCount(call.terms().fingerprint())
                + " backend servers ended or may have ended, sent by "
                + sender(call, now);
        sink.decide(new Decision.Audit(new Decision.Change(
                Decision.Subject.REQUEST_SUSPECTED, fingerprint, "waiting", way, cause, call.identifier())));
    }
}
