package org.chivecourse.coordination.call;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.poison.CrashFinding;
import org.chivecourse.coordination.poison.PoisonRequests;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.call.CallTerms;
import org.chivecourse.state.fleet.Crash;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerCondition;
import org.chivecourse.state.server.ServerState;

/**
 * Finds the backend servers that ended while they ran a request of this host.
 *
 * <p>A broken connection or a missing answer alone does not tell: the server may go on running. Each request that was
 * sent is therefore watched until its server has answered it, shows in another way that it runs, or is known to have
 * ended, whether the call is still open by then or not.
 */
public final class CrashDetector {

    /**
     * The time over which a backend server has to be found unreachable again and again to count as ended, in
     * nanoseconds.
     */
    private static final long SILENCE_NANOSECONDS = 300_000_000L;

    /** The time after a broken connection within which a sign of life may have been sent before it, in nanoseconds. */
    private static final long SIGN_DELAY_NANOSECONDS = 100_000_000L;

    /**
     * The time without a sign of life after a broken connection from which a configured backend server counts as ended,
     * in nanoseconds. Nobody announces the end of such a server.
     */
    private static final long CONFIGURED_SERVER_SILENCE_NANOSECONDS = 1_000_000_000L;

    /** The time after the end of an attempt for which it is watched, in nanoseconds. */
    private static final long WATCH_NANOSECONDS = 10_000_000_000L;

    /** The maximum number of watched attempts; the oldest is forgotten first. Bounds the memory used. */
    private static final int MAXIMUM_WATCHED_ATTEMPTS = 10_000;

    /** The services of the configuration in force. */
    private final ServiceRegistry services;

    /** Holds the requests that are suspected or blocked. */
    private final PoisonRequests poisonRequests;

    /** The attempts that have been sent and whose server may still end under them, the oldest first. */
    private final List<WatchedAttempt> watched = new ArrayList<>();

    /** Creates a detector that watches nothing. */
    CrashDetector(ServiceRegistry services, PoisonRequests poisonRequests) {
        this.services = services;
        this.poisonRequests = poisonRequests;
    }

    /** Watches an attempt whose request is about to be written to a connection. */
    void watch(AttemptState attempt) {
        if (watched.size() >= MAXIMUM_WATCHED_ATTEMPTS) {
            withdraw(watched.remove(0));
        }
        watched.add(new WatchedAttempt(attempt));
    }

    /** Records that the connection of an attempt broke before the backend server answered. */
    void recordBreak(AttemptState attempt, long now, DecisionSink sink) {
        for (WatchedAttempt candidate : watched) {
            if (candidate.attempt == attempt && !attempt.answered()) {
                candidate.broken = true;
                candidate.recordEnd(now);
                suspect(candidate, "its connection broke", now, sink);
            }
        }
    }

    /** Records that the backend server of an attempt may have ended, unless that is recorded. */
    private void suspect(WatchedAttempt candidate, String cause, long now, DecisionSink sink) {
        if (!candidate.suspected) {
            candidate.suspected = true;
            poisonRequests.suspect(candidate.fingerprint(), candidate.server().processName(), now);
            audit(CrashFinding.POSSIBLE, candidate.crash(), cause, sink);
        }
    }

    /** Records which attempts the current event has ended. */
    public void recordEnds(long now) {
        for (WatchedAttempt candidate : watched) {
            if (candidate.attempt.ended()) {
                candidate.recordEnd(now);
            }
        }
    }

    /** Records the crashes of backend servers that have become certain, and forgets the attempts that were not hit. */
    public void findCrashes(long now, DecisionSink sink) {
        withdrawDisproved(now, sink);
        Iterator<WatchedAttempt> iterator = watched.iterator();
        while (iterator.hasNext()) {
            WatchedAttempt candidate = iterator.next();
            if (hasEnded(candidate, now)) {
                iterator.remove();
                recordCrash(candidate, now, sink);
            } else if (isUnharmed(candidate, now)) {
                iterator.remove();
                withdraw(candidate);
                if (candidate.suspected) {
                    audit(CrashFinding.WITHDRAWN, candidate.crash(), "its server did not end", sink);
                }
            } else if (isSilentSinceSent(candidate)) {
                suspect(candidate, "it is out of reach", now, sink);
            }
        }
        poisonRequests.pollUrgentCrashes().forEach(services::recordCrash);
    }

    /**
     * Withdraws possible crashes, of this host's requests and others', of backend servers that go on running. Audits
     * those of this host's requests.
     */
    private void withdrawDisproved(long now, DecisionSink sink) {
        for (Crash crash : poisonRequests.withdrawDisproved(this::showedLife, now)) {
            if (isWatched(crash)) {
                audit(CrashFinding.WITHDRAWN, crash, "its server showed life, or nothing proved its end", sink);
            }
        }
    }

    /** Returns whether this host sent the request of a possible crash to the backend server. */
    private boolean isWatched(Crash crash) {
        return watched.stream()
                .anyMatch(candidate -> candidate.fingerprint() == crash.fingerprint()
                        && candidate.server().processName().equals(crash.server()));
    }

    /** Returns whether the backend server of a possible crash has shown since that it runs. */
    private boolean showedLife(Crash crash) {
        ServerState server = services.serverOfProcess(crash.server());
        return server != null && server.condition().lastAliveAt() - crash.endedAt() - SIGN_DELAY_NANOSECONDS > 0;
    }

    /** Returns whether the backend server of an attempt has ended without answering it. */
    private boolean hasEnded(WatchedAttempt candidate, long now) {
        if (candidate.attempt.answered() || showedLife(candidate)) {
            return false;
        }
        ServerCondition condition = candidate.server().condition();
        boolean silentForLong = isSilentSinceSent(candidate) && condition.silenceNanoseconds() >= SILENCE_NANOSECONDS;
        if (silentForLong && services.links().workedSinceSilence(candidate.server())) {
            return true;
        }
        return candidate.ended && (isGone(candidate.server()) || isSilentConfigured(candidate, now));
    }

    /** Returns whether the backend server of an attempt has been out of reach since the attempt was sent. */
    private static boolean isSilentSinceSent(WatchedAttempt candidate) {
        ServerCondition condition = candidate.server().condition();
        return condition.isSilent() && condition.silentSince() - candidate.attempt.sentAt() > 0;
    }

    /**
     * Returns whether a backend server was removed or replaced although it had not said that it leaves. One that leaves
     * in good order is no longer known either.
     */
    private boolean isGone(ServerState server) {
        if (server.leavingCause() == LeavingCause.REPLACED) {
            return true;
        }
        return server.leavingCause() == LeavingCause.NONE && services.server(server.identity()) != server;
    }

    /** Returns whether nothing shows that a configured backend server runs since it broke a connection. */
    private static boolean isSilentConfigured(WatchedAttempt candidate, long now) {
        return candidate.broken
                && !candidate.server().server().announced()
                && now - candidate.endedAt >= CONFIGURED_SERVER_SILENCE_NANOSECONDS;
    }

    /** Returns whether a backend server runs although it did not answer an attempt that has ended. */
    private static boolean showedLife(WatchedAttempt candidate) {
        long since = candidate.endedAt + SIGN_DELAY_NANOSECONDS;
        return candidate.ended && candidate.server().condition().lastAliveAt() - since > 0;
    }

    /** Returns whether an attempt need not be watched any longer. */
    private static boolean isUnharmed(WatchedAttempt candidate, long now) {
        return candidate.attempt.answered()
                || showedLife(candidate)
                || candidate.ended && now - candidate.endedAt >= WATCH_NANOSECONDS;
    }

    /**
     * Records that the backend server of an attempt ended under it. Others are not told if the request has been
     * answered since: this news would come before that of the answer, which voids it.
     */
    private void recordCrash(WatchedAttempt candidate, long now, DecisionSink sink) {
        ServerCondition condition = candidate.server().condition();
        long firstSign = candidate.ended ? candidate.endedAt : now;
        long endedAt =
                condition.isSilent() && condition.silentSince() - firstSign < 0 ? condition.silentSince() : firstSign;
        Crash crash = new Crash(candidate.fingerprint(), candidate.server().processName(), endedAt);
        CrashFinding finding = poisonRequests.recordCrash(crash, now);
        if (finding != CrashFinding.ANSWERED_SINCE) {
            services.recordCrash(crash);
        }
        CallTerms terms = candidate.attempt.call().terms();
        services.crashAudit().crash(finding, crash, terms, sink);
    }

    /** Withdraws the suspicion that a broken connection raised, and ends the trial of a suspected request. */
    private void withdraw(WatchedAttempt candidate) {
        poisonRequests.withdraw(candidate.fingerprint(), candidate.server().processName());
    }

    /** Audits a finding about a possible crash. */
    private void audit(CrashFinding finding, Crash crash, String cause, DecisionSink sink) {
        services.crashAudit().suspicion(finding, crash.fingerprint(), crash.server() + ": " + cause, sink);
    }

    /** An attempt that has been sent. */
    private static final class WatchedAttempt {

        /** The attempt. */
        private final AttemptState attempt;

        /** Whether its connection broke. */
        private boolean broken;

        /** Whether it is recorded that its backend server may have ended. */
        private boolean suspected;

        /** Whether it has ended. */
        private boolean ended;

        /** The time of its end in nanoseconds. */
        private long endedAt;

        /** Creates a watched attempt that is open. */
        WatchedAttempt(AttemptState attempt) {
            this.attempt = attempt;
        }

        /** Records the end of the attempt, unless it is known. */
        void recordEnd(long now) {
            endedAt = ended ? endedAt : now;
            ended = true;
        }

        /** Returns the backend server. */
        ServerState server() {
            return attempt.server();
        }

        /** Returns the possible crash. */
        Crash crash() {
            return new Crash(fingerprint(), server().processName(), endedAt, true);
        }

        /** Returns the fingerprint of the request. */
        long fingerprint() {
            return attempt.call().terms().fingerprint();
        }
    }
}
