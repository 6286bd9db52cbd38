package org.chivecourse.coordination.poison;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Counts how often each request was in flight at a backend server that lost its connections.
 *
 * <p>A request becomes a suspect with the first such coincidence and runs alone from then on. An answer clears it.
 * It is convicted after several coincidences at different backend servers of which the last ones found it alone, unless
 * many other backend servers fail at the same time.
 */
public final class PoisonRequests {

    /** The number of different backend servers whose failure convicts a request. */
    public static final int SERVERS_TO_BLOCK = 3;

    /** The number of those failures that must have found the request alone. */
    public static final int ALONE_FAILURES_TO_BLOCK = 2;

    /** The time for which a convicted request is refused, in nanoseconds. */
    public static final long BLOCK_NANOSECONDS = 600_000_000_000L;

    /** The time for which a coincidence counts, in nanoseconds. */
    private static final long SUSPICION_NANOSECONDS = 600_000_000_000L;

    /** The time within which failures of backend servers count as one event, in nanoseconds. */
    private static final long FAILURE_EVENT_NANOSECONDS = 1_000_000_000L;

    /** The number of other backend servers that fail within one event from which no request is blamed. */
    private static final int MASS_FAILURE_SERVERS = 2;

    /** The largest number of requests that are remembered. */
    private static final int MAXIMUM_REQUESTS = 10_000;

    /** What is known of suspects and convicts, the oldest first. */
    private final Map<Long, Suspicion> suspicions = new LinkedHashMap<>();

    /** The recent failures of backend servers, the oldest first. */
    private final Deque<Failure> failures = new ArrayDeque<>();

    /**
     * Records that a backend server lost the connection of a request before its answer.
     *
     * @param fingerprint the fingerprint of the request
     * @param server the address of the backend server
     * @param alone whether no other request of this host was in flight there
     * @param now the time in nanoseconds
     * @return {@code true} if the request is convicted by this
     */
    public boolean recordFailure(long fingerprint, String server, boolean alone, long now) {
        removeExpired(now);
        failures.addLast(new Failure(server, fingerprint, now));
        Suspicion suspicion = suspicions.computeIfAbsent(fingerprint, key -> new Suspicion());
        if (suspicion.blockedUntil != 0) {
            return false;
        }
        suspicion.lastFailureAt = now;
        if (otherServersFailing(fingerprint, server) >= MASS_FAILURE_SERVERS) {
            return false;
        }
        suspicion.servers.add(server);
        suspicion.aloneFailures += alone ? 1 : 0;
        boolean blocked =
                suspicion.servers.size() >= SERVERS_TO_BLOCK && suspicion.aloneFailures >= ALONE_FAILURES_TO_BLOCK;
        if (blocked) {
            suspicion.blockedUntil = now + BLOCK_NANOSECONDS;
        }
        return blocked;
    }

    /**
     * Returns the number of other backend servers that fail now without the request.
     *
     * @param fingerprint the fingerprint of the request
     * @param server the backend server that failed with the request
     * @return the number of backend servers
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

    /**
     * Records that a request was answered.
     *
     * @param fingerprint the fingerprint of the request
     */
    public void recordAnswer(long fingerprint) {
        Suspicion suspicion = suspicions.get(fingerprint);
        if (suspicion != null && suspicion.blockedUntil == 0) {
            suspicions.remove(fingerprint);
        }
    }

    /**
     * Convicts a request on the word of another host.
     *
     * @param fingerprint the fingerprint of the request
     * @param until the time in nanoseconds until which it is refused
     * @param now the time in nanoseconds
     */
    public void block(long fingerprint, long until, long now) {
        removeExpired(now);
        Suspicion suspicion = suspicions.computeIfAbsent(fingerprint, key -> new Suspicion());
        suspicion.lastFailureAt = now;
        suspicion.blockedUntil = Math.max(until, suspicion.blockedUntil);
    }

    /**
     * Returns whether a request has to run alone.
     *
     * @param fingerprint the fingerprint of the request
     * @param now the time in nanoseconds
     * @return {@code true} after a coincidence that no answer has cleared
     */
    public boolean suspected(long fingerprint, long now) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion != null
                && suspicion.blockedUntil == 0
                && now - suspicion.lastFailureAt < SUSPICION_NANOSECONDS;
    }

    /**
     * Returns the number of backend servers with whose failures the runs of a request coincided.
     *
     * @param fingerprint the fingerprint of the request
     * @return the number
     */
    public int failedServerCount(long fingerprint) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion == null ? 0 : suspicion.servers.size();
    }

    /**
     * Returns whether a backend server failed with a request in flight.
     *
     * @param fingerprint the fingerprint of the request
     * @param server the address of the backend server
     * @return {@code true} if a further run there would tell nothing new
     */
    public boolean failedAt(long fingerprint, String server) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion != null && suspicion.servers.contains(server);
    }

    /**
     * Returns whether a request is refused.
     *
     * @param fingerprint the fingerprint of the request
     * @param now the time in nanoseconds
     * @return {@code true} while it is convicted
     */
    public boolean blocked(long fingerprint, long now) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion != null && suspicion.blockedUntil != 0 && now - suspicion.blockedUntil < 0;
    }

    /**
     * Returns the convicted requests.
     *
     * @param now the time in nanoseconds
     * @return the remaining time of each conviction in nanoseconds, by fingerprint
     */
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
     * Forgets what is too old, and the oldest when too much is remembered.
     *
     * @param now the time in nanoseconds
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

    /**
     * Returns whether a suspicion no longer counts.
     *
     * @param suspicion the suspicion
     * @param now the time in nanoseconds
     * @return {@code true} if it can be forgotten
     */
    private static boolean expired(Suspicion suspicion, long now) {
        return suspicion.blockedUntil != 0
                ? now - suspicion.blockedUntil >= 0
                : now - suspicion.lastFailureAt >= SUSPICION_NANOSECONDS;
    }

    /**
     * A failure of a backend server.
     *
     * @param server the address of the backend server
     * @param fingerprint the fingerprint of a request that was in flight there
     * @param at the time in nanoseconds
     */
    private record Failure(String server, long fingerprint, long at) {}

    /** What is known of a request that was in flight at a failing backend server. */
    private static final class Suspicion {

        /** The backend servers that failed with the request. */
        private final Set<String> servers = new HashSet<>();

        /** The number of failures that found the request alone. */
        private int aloneFailures;

        /** The time of the last failure in nanoseconds. */
        private long lastFailureAt;

        /** The time until which the request is refused in nanoseconds, zero unless it is convicted. */
        private long blockedUntil;
    }
}
