package org.chivecourse.coordination.poison;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Records which requests were in flight when backend servers failed, and blocks those that crash them.
 *
 * <p>A request is suspected from the first such coincidence and then runs alone. An answer clears the suspicion. A
 * request is blocked after coincidences with failures of several different backend servers, if it ran alone in enough
 * of them. Failures are not counted against a request while many other backend servers fail at the same time.
 */
public final class PoisonRequests {

    /** The number of different backend servers whose failure blocks a request. */
    public static final int SERVERS_TO_BLOCK = 3;

    /** The number of those failures during which the request must have run alone. */
    public static final int ALONE_FAILURES_TO_BLOCK = 2;

    /** The time for which a request is blocked. */
    public static final long BLOCK_NANOSECONDS = 600_000_000_000L;

    /** The time after the last failure for which a request remains suspected. */
    private static final long SUSPICION_NANOSECONDS = 600_000_000_000L;

    /** The time within which failures of backend servers count as one event. */
    private static final long FAILURE_EVENT_NANOSECONDS = 1_000_000_000L;

    /** The number of other backend servers failing in one event from which failures count against no request. */
    private static final int MASS_FAILURE_SERVERS = 2;

    /** The maximum number of requests that are remembered. Bounds the memory used. */
    private static final int MAXIMUM_REQUESTS = 10_000;

    /** The suspected and blocked requests by fingerprint, oldest first. */
    private final Map<Long, Suspicion> suspicions = new LinkedHashMap<>();

    /** The failures of backend servers within the current event, oldest first. */
    private final Deque<Failure> failures = new ArrayDeque<>();

    /**
     * Records that a backend server lost the connection of a request before its answer.
     *
     * @param server the identity of the backend server
     * @param alone whether no other request of this host was in flight there
     * @return what the failure means for the request
     */
    public FailureFinding recordFailure(long fingerprint, String server, boolean alone, long now) {
        removeExpired(now);
        failures.addLast(new Failure(server, fingerprint, now));
        Suspicion suspicion = suspicions.computeIfAbsent(fingerprint, key -> new Suspicion());
        if (suspicion.blockedUntil != 0) {
            return FailureFinding.BLOCKED_BEFORE;
        }
        suspicion.lastFailureAt = now;
        if (otherServersFailing(fingerprint, server) >= MASS_FAILURE_SERVERS) {
            return FailureFinding.EXCUSED;
        }
        suspicion.servers.add(server);
        suspicion.aloneFailures += alone ? 1 : 0;
        boolean blocked =
                suspicion.servers.size() >= SERVERS_TO_BLOCK && suspicion.aloneFailures >= ALONE_FAILURES_TO_BLOCK;
        if (blocked) {
            suspicion.blockedUntil = now + BLOCK_NANOSECONDS;
        }
        return blocked ? FailureFinding.BLOCKED : FailureFinding.COUNTED;
    }

    /**
     * Returns the number of other backend servers that fail in the current event without this request.
     *
     * @param server the backend server that failed with the request
     */
    private int otherServersFailing(long fingerprint, String server) {
        Set<String> others = new HashSet<>();
        Set<String> own = new HashSet<>(Set.of(server));
        for (Failure failure : failures) {
            (failure.fingerprint() == fingerprint ? own : others).add(failure.server());
        }
        others.removeAll(own);
        return others.size();
    }

    /** Clears the suspicion of a request that was answered. A block is not lifted. */
    public void recordAnswer(long fingerprint) {
        Suspicion suspicion = suspicions.get(fingerprint);
        if (suspicion != null && suspicion.blockedUntil == 0) {
            suspicions.remove(fingerprint);
        }
    }

    /**
     * Blocks a request that another host reported as blocked.
     *
     * @param until the time until which the request is blocked, in nanoseconds; a later end that is already known stays
     */
    public void block(long fingerprint, long until, long now) {
        removeExpired(now);
        Suspicion suspicion = suspicions.computeIfAbsent(fingerprint, key -> new Suspicion());
        suspicion.lastFailureAt = now;
        suspicion.blockedUntil = Math.max(until, suspicion.blockedUntil);
    }

    /** Returns whether a request is suspected but not blocked. */
    public boolean suspected(long fingerprint, long now) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion != null
                && suspicion.blockedUntil == 0
                && now - suspicion.lastFailureAt < SUSPICION_NANOSECONDS;
    }

    /**
     * Returns the number of different backend servers that failed while the request was in flight, without mass
     * failures.
     */
    public int failedServerCount(long fingerprint) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion == null ? 0 : suspicion.servers.size();
    }

    /**
     * Returns whether a backend server failed while the request was in flight, so that another run there would give no
     * new evidence.
     */
    public boolean failedAt(long fingerprint, String server) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion != null && suspicion.servers.contains(server);
    }

    /** Returns whether a request is blocked now. */
    public boolean blocked(long fingerprint, long now) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion != null && suspicion.blockedUntil != 0 && now - suspicion.blockedUntil < 0;
    }

    /** Returns the remaining time of each block in nanoseconds, by the fingerprint of the request. */
    public Map<Long, Long> blockedRequests(long now) {
        Map<Long, Long> remaining = new LinkedHashMap<>();
        suspicions.forEach((fingerprint, suspicion) -> {
            if (blocked(fingerprint, now)) {
                remaining.put(fingerprint, suspicion.blockedUntil - now);
            }
        });
        return remaining;
    }

    /**
     * Removes failures outside the current event and, once the maximum is reached, expired suspicions and blocks, or
     * else the oldest entry.
     */
    private void removeExpired(long now) {
        while (!failures.isEmpty() && now - failures.peekFirst().at() > FAILURE_EVENT_NANOSECONDS) {
            failures.removeFirst();
        }
        if (suspicions.size() < MAXIMUM_REQUESTS) {
            return;
        }
        suspicions.entrySet().removeIf(entry -> expired(entry.getValue(), now));
        if (suspicions.size() >= MAXIMUM_REQUESTS) {
            suspicions.remove(suspicions.keySet().iterator().next());
        }
    }

    /** Returns whether a suspicion or block has ended. */
    private static boolean expired(Suspicion suspicion, long now) {
        return suspicion.blockedUntil != 0
                ? now - suspicion.blockedUntil >= 0
                : now - suspicion.lastFailureAt >= SUSPICION_NANOSECONDS;
    }

    /**
     * A failure of a backend server.
     *
     * @param server the identity of the backend server
     * @param fingerprint the fingerprint of a request that was in flight there
     * @param at the time of the failure in nanoseconds
     */
    private record Failure(String server, long fingerprint, long at) {}

    /** The record of a request that was in flight when backend servers failed. */
    private static final class Suspicion {

        /** The backend servers that failed while the request was in flight. */
        private final Set<String> servers = new HashSet<>();

        /** The number of failures during which the request ran alone. */
        private int aloneFailures;

        /** The time of the last failure, or of the last report that the request is blocked, in nanoseconds. */
        private long lastFailureAt;

        /** The time until which the request is blocked, in nanoseconds; zero unless it is blocked. */
        private long blockedUntil;
    }
}
