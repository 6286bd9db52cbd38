package org.chivecourse.configuration.model;

import java.time.Duration;
import java.util.List;

/**
 * A route for requests to a host name below a path prefix. Its requests go to one service or are split among several.
 *
 * @param name the name
 * @param host the host name that requests are addressed to, in lower case
 * @param pathPrefix the path prefix of the requests, which begins and ends with a slash
 * @param idempotency whether its requests may run more than once
 * @param timeout the maximum time that a caller waits for an answer
 * @param targetLatency the time within which an answer has its full value for the caller
 * @param rank the urgency of waiting requests, zero for the most urgent; the least urgent are refused first
 * @param attempts the maximum number of backend servers that one request may be sent to
 * @param services the services with their weights
 */
public record CallerRoute(
        String name,
        String host,
        String pathPrefix,
        Idempotency idempotency,
        Duration timeout,
        Duration targetLatency,
        int rank,
        int attempts,
        List<ServiceShare> services) {

    /** The timeout of a route whose configuration does not state it. */
    public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(2);

    /** The rank of a route whose configuration does not state it. */
    public static final int DEFAULT_RANK = 1;

    /** Creates a route with an immutable copy of its services. */
    public CallerRoute {
        services = List.copyOf(services);
    }

    /**
     * Creates a route to a single service, whose requests are sent once.
     *
     * @param name the name
     * @param host the host name that requests are addressed to, in lower case
     * @param pathPrefix the path prefix of the requests, which begins and ends with a slash
     * @param service the name of the service
     * @return the route
     */
    public static CallerRoute of(String name, String host, String pathPrefix, String service) {
        return new CallerRoute(
                name,
                host,
                pathPrefix,
                Idempotency.BY_METHOD,
                DEFAULT_TIMEOUT,
                DEFAULT_TIMEOUT,
                DEFAULT_RANK,
                1,
                List.of(new ServiceShare(service, 1)));
    }

    /**
     * Returns a copy of this route with another idempotency.
     *
     * @param newIdempotency whether its requests may run more than once
     * @return the changed route
     */
    public CallerRoute idempotency(Idempotency newIdempotency) {
        return new CallerRoute(
                name, host, pathPrefix, newIdempotency, timeout, targetLatency, rank, attempts, services);
    }

    /**
     * Returns a copy of this route with another timeout and target latency.
     *
     * @param newTimeout the maximum time that a caller waits for an answer
     * @param newTargetLatency the time within which an answer has its full value for the caller
     * @return the changed route
     */
    public CallerRoute times(Duration newTimeout, Duration newTargetLatency) {
        return new CallerRoute(
                name, host, pathPrefix, idempotency, newTimeout, newTargetLatency, rank, attempts, services);
    }

    /**
     * Returns a copy of this route with another rank.
     *
     * @param newRank the urgency of waiting requests, zero for the most urgent
     * @return the changed route
     */
    public CallerRoute rank(int newRank) {
        return new CallerRoute(
                name, host, pathPrefix, idempotency, timeout, targetLatency, newRank, attempts, services);
    }

    /**
     * Returns a copy of this route with another number of attempts.
     *
     * @param newAttempts the maximum number of backend servers that one request may be sent to
     * @return the changed route
     */
    public CallerRoute attempts(int newAttempts) {
        return new CallerRoute(
                name, host, pathPrefix, idempotency, timeout, targetLatency, rank, newAttempts, services);
    }

    /**
     * Returns a copy of this route with other services.
     *
     * @param shares the services with their weights
     * @return the changed route
     */
    public CallerRoute split(List<ServiceShare> shares) {
        return new CallerRoute(name, host, pathPrefix, idempotency, timeout, targetLatency, rank, attempts, shares);
    }
}
