package org.chivecourse.coordination.health;

import java.util.Collection;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/**
 * Finds out whether this host's own links to the backend servers of a service are lost, as opposed to backend servers
 * that are down.
 *
 * <p>They are lost if several backend servers have failed since any of them last answered this host, while one of these
 * goes on answering other hosts.
 */
public final class LinkMonitor {

    /** The number of backend servers that must have failed, or all if there are fewer. */
    private static final int MINIMUM_FAILED_SERVERS = 3;

    /** The time for which a failure counts that an answer to another host contradicts. */
    private static final long CONTRADICTION_NANOSECONDS = 2_000_000_000L;

    /** The age from which a request without an answer counts as a failure, if nothing else is answered either. */
    private static final long SILENT_REQUEST_NANOSECONDS = 500_000_000L;

    /** The time of the last answer to this host by any of the backend servers. */
    private long lastAnswerAt = Long.MIN_VALUE / 2;

    /** Whether another host has got an answer of a backend server after this one had failed to reach it. */
    private boolean contradicted;

    /** Whether the links are lost. */
    private boolean lost;

    /** Whether the links may be lost. */
    private boolean doubtful;

    /**
     * Determines again whether the links are lost.
     *
     * @param servers the backend servers of the service
     * @return {@code true} if that has changed
     */
    public boolean update(Collection<ServerState> servers, long now) {
        lastAnswerAt = Long.MIN_VALUE / 2;
        contradicted = false;
        for (ServerState server : servers) {
            lastAnswerAt = Math.max(lastAnswerAt, server.contact().answeredAt());
        }
        int failed = 0;
        int inService = 0;
        boolean othersAnswered = false;
        for (ServerState server : servers) {
            if (server.leavingCause() != LeavingCause.NONE) {
                continue;
            }
            inService++;
            boolean silent = isSilent(server, now);
            if (silent || server.contact().failedAt() - lastAnswerAt > 0) {
                failed++;
                othersAnswered |= server.contact().answeredOthersAt() - failingSince(server, silent, now) > 0;
            }
            contradicted |= isContradicted(server, now);
        }
        doubtful = failed > 0 && othersAnswered;
        boolean before = lost;
        lost = doubtful && failed >= Math.min(MINIMUM_FAILED_SERVERS, inService);
        return lost != before;
    }

    /** Returns whether another host got an answer after this one had failed to reach the backend server. */
    private static boolean isContradicted(ServerState server, long now) {
        long failedAt = server.contact().failedAt();
        return now - failedAt < CONTRADICTION_NANOSECONDS && server.contact().answeredOthersAt() - failedAt > 0;
    }

    /** Returns whether a request to a backend server is old, and none of the servers has answered for as long. */
    private boolean isSilent(ServerState server, long now) {
        return now - lastAnswerAt >= SILENT_REQUEST_NANOSECONDS
                && server.oldestRequestAge(now) >= SILENT_REQUEST_NANOSECONDS;
    }

    /** Returns the time from which this host has failed to reach a backend server. */
    private static long failingSince(ServerState server, boolean silent, long now) {
        return silent ? now - server.oldestRequestAge(now) : server.contact().failingSince();
    }

    /** Returns whether the links may be lost: a backend server has failed, and others get answers in the meantime. */
    public boolean doubtful() {
        return doubtful;
    }

    /**
     * Returns whether this host's links have worked since a backend server was found out of reach, so that the failure
     * is due to the server: another one has answered since, and no other host reaches one that this host does not.
     *
     * @param failedAt the time at which it was found out of reach
     */
    public boolean workedSince(long failedAt) {
        return lastAnswerAt - failedAt > 0 && !contradicted;
    }

    /** Returns whether the links are lost. */
    public boolean lost() {
        return lost;
    }
}
