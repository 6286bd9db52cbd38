package org.chivecourse.coordination.poison;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivecourse.state.fleet.Crash;

/** What a host knows of a request that was running when backend servers ended. */
final class Suspicion {

    /** The time after the last coincidence for which a request remains suspected. */
    static final long LIFETIME_NANOSECONDS = 600_000_000_000L;

    /** The crashes by process of the backend server. */
    final Map<String, KnownCrash> crashes = new LinkedHashMap<>();

    /** The possible crashes by process of the backend server, which may go on running. */
    final Map<String, KnownCrash> unconfirmed = new LinkedHashMap<>();

    /** The processes of backend servers whose crash an answer has cleared. Each process ends only once. */
    final Set<String> clearedCrashes = new HashSet<>();

    /** The processes of backend servers whose possible crash an answer has cleared. */
    final Set<String> clearedPossibleCrashes = new HashSet<>();

    /** The possible crashes of this host that no other host has been told of immediately. */
    final List<Crash> unannounced = new ArrayList<>();

    /** The process of the backend server where the only copy runs, or ran without a result; {@code null} for none. */
    String trialServer;

    /** The time at which that copy was sent, in nanoseconds. */
    long trialStartedAt;

    /** The number of backend servers that ended while they ran the only copy, since the request was last answered. */
    int failedTrials;

    /** Whether an answer cleared earlier crashes. */
    boolean answered;

    /** The time of the latest such answer, in nanoseconds. */
    long answeredAt;

    /** The time at which this host learnt of that answer, in nanoseconds. */
    long answerLearntAt;

    /** The time of the last coincidence, answer or report that the request is blocked, in nanoseconds. */
    long lastChangedAt;

    /** The time until which the request is blocked, in nanoseconds; zero unless it is blocked. */
    long blockedUntil;

    /** Records an answer that cleared crashes. */
    void recordAnswer(long at, long now) {
        answered = true;
        answeredAt = at;
        answerLearntAt = now;
        lastChangedAt = now;
    }

    /** Removes the possible crash of a backend server. */
    void withdraw(String server) {
        unconfirmed.remove(server);
        unannounced.removeIf(crash -> crash.server().equals(server));
    }

    /** Ends the run of the only copy if it is at a backend server, and returns whether it is. */
    boolean endTrial(String server) {
        boolean runsThere = server.equals(trialServer);
        trialServer = runsThere ? null : trialServer;
        return runsThere;
    }

    /** Removes all possible crashes. */
    void withdrawAll() {
        unconfirmed.clear();
        unannounced.clear();
    }

    /**
     * Clears the crashes and the trial that are not later than an answer.
     *
     * @param at the time of the answer in nanoseconds
     * @return {@code true} if there was a crash to clear
     */
    boolean clearUntil(long at) {
        unannounced.removeIf(crash -> crash.endedAt() - at <= 0);
        boolean possibleCleared = clearUntil(at, unconfirmed, clearedPossibleCrashes);
        boolean certainCleared = clearUntil(at, crashes, clearedCrashes);
        trialServer = trialStartedAt - at <= 0 ? null : trialServer;
        failedTrials = 0;
        return possibleCleared || certainCleared;
    }

    /** Moves the crashes that are not later than an answer to the cleared ones, and returns whether there were any. */
    private static boolean clearUntil(long at, Map<String, KnownCrash> crashes, Set<String> cleared) {
        List<String> servers = crashes.values().stream()
                .filter(known -> known.crash().endedAt() - at <= 0)
                .map(known -> known.crash().server())
                .toList();
        cleared.addAll(servers);
        return crashes.keySet().removeAll(servers);
    }

    /**
     * Returns whether an answer has cleared a crash. A report that came through several hosts makes a crash younger by
     * the time that it travelled. The answer becomes as young, so that it clears what such reports left elsewhere.
     */
    boolean hasCleared(Crash crash, long now) {
        boolean endCleared = clearedCrashes.contains(crash.server());
        boolean earlier = answered && crash.endedAt() - answeredAt <= 0;
        if (endCleared && !earlier) {
            recordAnswer(crash.endedAt(), now);
        }
        return endCleared || earlier || crash.possible() && clearedPossibleCrashes.contains(crash.server());
    }

    /** Returns the crashes and then the possible ones. */
    List<KnownCrash> known() {
        List<KnownCrash> all = new ArrayList<>(crashes.values());
        all.addAll(unconfirmed.values());
        return all;
    }

    /** Returns the number of backend servers that ended or may have ended. */
    int coincidences() {
        return crashes.size() + unconfirmed.size();
    }

    /** Returns whether nothing has to be remembered. */
    boolean empty() {
        return coincidences() == 0 && !answered && blockedUntil == 0 && trialServer == null;
    }

    /** Returns whether the request is blocked now. */
    boolean blocked(long now) {
        return blockedUntil != 0 && now - blockedUntil < 0;
    }

    /** Returns whether the suspicion or block has ended. */
    boolean expired(long now) {
        return blockedUntil != 0 ? !blocked(now) : now - lastChangedAt >= LIFETIME_NANOSECONDS;
    }

    /** Returns whether the crashes may count against the request at a time. */
    boolean current(long now) {
        return blockedUntil == 0 && coincidences() > 0 && now - lastChangedAt < LIFETIME_NANOSECONDS;
    }

    /**
     * A crash with the time at which this host learnt of it.
     *
     * @param crash the crash
     * @param learntAt the time in nanoseconds
     */
    record KnownCrash(Crash crash, long learntAt) {}
}
