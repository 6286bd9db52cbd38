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
public final class HealthMonitor {

    /** The time between two looks at a backend server that may be leaving, in nanoseconds. */
    public static final long CHECK_INTERVAL_NANOSECONDS = 1_000_000_000L;

    /** The time for which a leaving backend server must be healthy at first, in nanoseconds. */
    public static final long INITIAL_HOLD_NANOSECONDS = 5_000_000_000L;

    /** The longest time for which a leaving backend server must be healthy, in nanoseconds. */
    public static final long MAXIMUM_HOLD_NANOSECONDS = 300_000_000_000L;

    /** The largest number of looks at the same time. */
    private static final int MAXIMUM_CONCURRENT_CHECKS = 20;

    /** What is known by address. */
    private final Map<String, Entry> entries = new HashMap<>();

    /** The number of looks under way. */
    private int checksInProgress;

    /**
     * Returns whether a backend server's health endpoint is looked at now.
     *
     * @param server the backend server
     * @param now the time in nanoseconds
     * @return {@code true} if a look starts
     */
    public boolean startCheck(ServerState server, long now) {
        Entry entry = entries.computeIfAbsent(server.address(), key -> new Entry(server.discoveredAt()));
        boolean reportStale = !server.hasReport() || now - server.reportedAt() > CHECK_INTERVAL_NANOSECONDS;
        boolean due = reportStale && now - entry.checkedAt >= CHECK_INTERVAL_NANOSECONDS;
        if (!due || entry.checking || checksInProgress >= MAXIMUM_CONCURRENT_CHECKS) {
            return false;
        }
        entry.checking = true;
        entry.checkedAt = now;
        checksInProgress++;
        return true;
    }

    /**
     * Takes the answer of a look.
     *
     * @param server the backend server
     * @param result what the look found
     * @param now the time in nanoseconds
     * @return what changes
     */
    public Change recordResult(ServerState server, HealthCheckResult result, long now) {
        Entry entry = entries.computeIfAbsent(server.address(), key -> new Entry(server.discoveredAt()));
        if (entry.checking) {
            entry.checking = false;
            checksInProgress--;
        }
        if (result != HealthCheckResult.SERVING) {
            entry.healthySince = 0;
            return result == HealthCheckResult.LEAVING ? Change.LEAVING : Change.NONE;
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
        entry.holdNanoseconds = Math.min(MAXIMUM_HOLD_NANOSECONDS, 2 * entry.holdNanoseconds);
        return Change.IN_SERVICE;
    }

    /** What the answer of a look changes. */
    public enum Change {
        /** Nothing changes. */
        NONE,

        /** The backend server leaves. */
        LEAVING,

        /** The backend server stays. */
        IN_SERVICE
    }

    /** What is known of a backend server's health endpoint. */
    private static final class Entry {

        /** The time of the last look in nanoseconds. */
        private long checkedAt;

        /** Whether a look is under way. */
        private boolean checking;

        /** The time since which the endpoint has said that the backend server serves, zero if it has not. */
        private long healthySince;

        /** The time for which the endpoint must say so before a leaving backend server stays, in nanoseconds. */
        private long holdNanoseconds = INITIAL_HOLD_NANOSECONDS;

        /**
         * Creates an entry that is looked at after the interval.
         *
         * @param learntAt the time at which the host learnt of the backend server, in nanoseconds
         */
        private Entry(long learntAt) {
            checkedAt = learntAt;
        }
    }
}
