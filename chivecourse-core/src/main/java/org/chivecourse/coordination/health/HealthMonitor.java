package org.chivecourse.coordination.health;

import java.util.HashMap;
import java.util.Map;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/**
 * Decides when a backend server's health endpoint is checked and what its results change.
 *
 * <p>Health endpoints lag and can be wrong. A backend server that announced on an answer that it is leaving is
 * therefore returned to service only after its health endpoint has reported otherwise for a hold time, which doubles
 * each time it is returned.
 */
public final class HealthMonitor {

    /**
     * The time between two checks of a backend server, and the age from which its load report no longer replaces a
     * check.
     */
    public static final long CHECK_INTERVAL_NANOSECONDS = 1_000_000_000L;

    /** The time for which a leaving backend server must be healthy before it is returned to service the first time. */
    public static final long INITIAL_HOLD_NANOSECONDS = 5_000_000_000L;

    /** The maximum time for which a leaving backend server must be healthy. */
    public static final long MAXIMUM_HOLD_NANOSECONDS = 300_000_000_000L;

    /** The maximum number of checks in progress at the same time. */
    private static final int MAXIMUM_CONCURRENT_CHECKS = 20;

    /** The state of each backend server by address. */
    private final Map<String, Entry> entries = new HashMap<>();

    /** The number of checks in progress. */
    private int checksInProgress;

    /**
     * Returns whether a backend server's health endpoint is to be checked now, and if so records that the check starts.
     * Backend servers with a recent load report are not checked.
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

    /** Records the result of a check and returns what it changes. */
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

    /** What the result of a check changes. */
    public enum Change {
        /** Nothing changes. */
        NONE,

        /** The backend server is leaving. */
        LEAVING,

        /** The backend server is in service again. */
        IN_SERVICE
    }

    /** The state of a backend server's health checks. */
    private static final class Entry {

        /** The time at which the last check started, in nanoseconds. */
        private long checkedAt;

        /** Whether a check is in progress. */
        private boolean checking;

        /**
         * The time since which the endpoint has reported that the backend server serves, in nanoseconds; zero if the
         * last result differed.
         */
        private long healthySince;

        /**
         * The time for which the endpoint must report healthy before a leaving backend server is returned to service.
         */
        private long holdNanoseconds = INITIAL_HOLD_NANOSECONDS;

        /**
         * Creates an entry whose first check is due one interval after the backend server became known.
         *
         * @param discoveredAt the time at which the backend server became known, in nanoseconds
         */
        private Entry(long discoveredAt) {
            checkedAt = discoveredAt;
        }
    }
}
