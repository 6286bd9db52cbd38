package org.chivecourse.coordination.poison;

import java.util.LinkedHashMap;
import java.util.Map;
import org.chivecourse.state.fleet.Crash;

/** What a host knows of a request that was running when backend servers ended. */
final class Suspicion {

    /** The time after the last coincidence for which a request remains suspected. */
    static final long LIFETIME_NANOSECONDS = 600_000_000_000L;

    /** The crashes by process of the backend server. */
    final Map<String, KnownCrash> crashes = new LinkedHashMap<>();

    /** The times of broken connections by process of the backend server, which may have ended. */
    final Map<String, Long> unconfirmed = new LinkedHashMap<>();

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

    /** Returns the number of backend servers that ended or may have ended. */
    int coincidences() {
        return crashes.size() + unconfirmed.size();
    }

    /** Returns whether nothing has to be remembered. */
    boolean empty() {
        return coincidences() == 0 && !answered && blockedUntil == 0;
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
