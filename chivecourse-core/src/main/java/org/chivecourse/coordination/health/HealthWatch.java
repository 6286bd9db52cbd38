package org.chivecourse.coordination.health;

import java.util.HashMap;
import java.util.Map;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/**
 * Decides when a backend server's health endpoint is looked at and what its answers change.
 *
 * <p>Health endpoints lag and mislead: a backend server that said on an answer that it leaves is taken back only after
 * its health endpoint has said otherwise for a time, which doubles with each time that it was taken back too early.
 */
public final class HealthWatch {

    /** The time between two looks at a backend server that may be leaving, in nanoseconds. */
    public static final long INTERVAL_NANOSECONDS = 1_000_000_000L;

    /** The time for which a leaving backend server must be healthy at first, in nanoseconds. */
    public static final long FIRST_HOLD_NANOSECONDS = 5_000_000_000L;

    /** The longest time for which a leaving backend server must be healthy, in nanoseconds. */
    public static final long LONGEST_HOLD_NANOSECONDS = 300_000_000_000L;

    /** The largest number of looks at the same time. */
    private static final int LARGEST_OPEN = 20;

    /** What is known by address. */
    private final Map<String, Entry> entries = new HashMap<>();

    /** The number of looks under way. */
    private int open;

    /**
     * Returns whether a backend server's health endpoint is looked at now.
     *
     * @param server the backend server
     * @param now the time in nanoseconds
     * @return {@code true} if a look starts
     */
    public boolean look(ServerState server, long now) {
        Entry entry = entries.computeIfAbsent(server.address(), key -> new Entry(server.discoveredAt()));
        boolean quiet = !server.hasReport() || now - server.reportedAt() > INTERVAL_NANOSECONDS;
        boolean due = quiet && now - entry.lookedAt >= INTERVAL_NANOSECONDS;
        if (!due || entry.looking || open >= LARGEST_OPEN) {
            return false;
        }
        entry.looking = true;
        entry.lookedAt = now;
        open++;
        return true;
    }

    /**
     * Takes the answer of a look.
     *
     * @param server the backend server
     * @param answer what the look found
     * @param now the time in nanoseconds
     * @return what changes
     */
    public Change answered(ServerState server, HealthAnswer answer, long now) {
        Entry entry = entries.computeIfAbsent(server.address(), key -> new Entry(server.discoveredAt()));
        if (entry.looking) {
            entry.looking = false;
            open--;
        }
        if (answer != HealthAnswer.SERVING) {
            entry.healthySince = 0;
            return answer == HealthAnswer.LEAVING ? Change.LEAVES : Change.NONE;
        }
        if (server.leavingCause() == LeavingCause.NONE || server.leavingCause() == LeavingCause.CONFIGURATION) {
            return Change.NONE;
        }
        if (entry.healthySince == 0) {
            entry.healthySince = now;
        }
        if (now - entry.healthySince < entry.holdNanoseconds) {
            return Change.NONE;
        }
        entry.healthySince = 0;
        entry.holdNanoseconds = Math.min(LONGEST_HOLD_NANOSECONDS, 2 * entry.holdNanoseconds);
        return Change.STAYS;
    }

    /** What the answer of a look changes. */
    public enum Change {
        /** Nothing changes. */
        NONE,

        /** The backend server leaves. */
        LEAVES,

        /** The backend server stays. */
        STAYS
    }

    /** What is known of a backend server's health endpoint. */
    private static final class Entry {

        /** The time of the last look in nanoseconds. */
        private long lookedAt;

        /** Whether a look is under way. */
        private boolean looking;

        /** The time since which the endpoint has said that the backend server serves, zero if it has not. */
        private long healthySince;

        /** The time for which the endpoint must say so before a leaving backend server stays, in nanoseconds. */
        private long holdNanoseconds = FIRST_HOLD_NANOSECONDS;

        /**
         * Creates an entry that is looked at after the interval.
         *
         * @param learntAt the time at which the host learnt of the backend server, in nanoseconds
         */
        private Entry(long learntAt) {
            lookedAt = learntAt;
        }
    }
}
