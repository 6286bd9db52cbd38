package org.chivecourse.configuration.model;

import java.time.Duration;
import java.util.List;

/**
 * A rule for requests to a host name below a path, whose requests go to one service or are split among several.
 *
 * @param name the name
 * @param host the host name that requests are addressed to, in lower case
 * @param pathPrefix the start of the paths that the rule covers, which begins and ends with a slash
 * @param idempotency whether its requests may run more than once
 * @param timeout the longest time that a caller waits for an answer
 * @param targetLatency the time within which an answer is of full use
 * @param rank the order in which requests keep capacity, zero for the most urgent
 * @param attempts the largest number of backend servers that one request may be sent to
 * @param services the services and their shares
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

    /** The longest time that a caller waits where nothing else is said. */
    public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(2);

    /** The rank where nothing else is said. */
    public static final int DEFAULT_RANK = 1;

    /**
     * Creates a route whose services are copied.
     */
    public CallerRoute {
        services = List.copyOf(services);
    }

    /**
     * Creates a route whose requests are sent once, to one service.
     *
     * @param name the name
     * @param host the host name that requests are addressed to, in lower case
     * @param pathPrefix the start of the paths that the rule covers, which begins and ends with a slash
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
     * Returns this route with a rule for what may be repeated.
     *
     * @param newIdempotency whether its requests may run more than once
     * @return the changed route
     */
    public CallerRoute idempotency(Idempotency newIdempotency) {
        return new CallerRoute(
                name, host, pathPrefix, newIdempotency, timeout, targetLatency, rank, attempts, services);
    }

    /**
     * Returns this route with other times.
     *
     * @param newTimeout the longest time that a caller waits for an answer
     * @param newTargetLatency the time within which an answer is of full use
     * @return the changed route
     */
    public CallerRoute times(Duration newTimeout, Duration newTargetLatency) {
        return new CallerRoute(
                name, host, pathPrefix, idempotency, newTimeout, newTargetLatency, rank, attempts, services);
    }

    /**
     * Returns this route with a rank.
     *
     * @param newRank the order in which requests keep capacity, zero for the most urgent
     * @return the changed route
     */
    public CallerRoute rank(int newRank) {
        return new CallerRoute(
                name, host, pathPrefix, idempotency, timeout, targetLatency, newRank, attempts, services);
    }

    /**
     * Returns this route with a number of attempts.
     *
     * @param newAttempts the largest number of backend servers that one request may be sent to
     * @return the changed route
     */
    public CallerRoute attempts(int newAttempts) {
        return new CallerRoute(
                name, host, pathPrefix, idempotency, timeout, targetLatency, rank, newAttempts, services);
    }

    /**
     * Returns this route with other services.
     *
     * @param shares the services and their shares
     * @return the changed route
     */
    public CallerRoute split(List<ServiceShare> shares) {
        return new CallerRoute(name, host, pathPrefix, idempotency, timeout, targetLatency, rank, attempts, shares);
    }
}
