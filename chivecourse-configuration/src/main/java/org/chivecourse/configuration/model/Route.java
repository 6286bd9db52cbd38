package org.chivecourse.configuration.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A route for requests with some methods below a path prefix.
 *
 * @param methods the methods
 * @param pathPrefix the path prefix of the requests
 * @param idempotency whether its requests may run more than once
 * @param attempts the maximum number of times that a request may be sent, including the first
 * @param hedged whether a request may be sent to a second backend server while the first has not answered
 * @param deadline the time within which a request has to be answered, zero for the deadline of the service
 */
public record Route(
        List<Method> methods,
        String pathPrefix,
        Idempotency idempotency,
        int attempts,
        boolean hedged,
        Duration deadline) {

    /** Creates a route with an immutable copy of its methods. */
    public Route {
        methods = List.copyOf(methods);
    }

    /**
     * Creates a route whose requests are sent once.
     *
     * @param pathPrefix the path prefix of the requests
     * @param method the first method
     * @param otherMethods the other methods
     * @return the route
     */
    public static Route of(String pathPrefix, Method method, Method... otherMethods) {
        List<Method> methods = new ArrayList<>();
        methods.add(method);
        methods.addAll(List.of(otherMethods));
        return new Route(methods, pathPrefix, Idempotency.BY_METHOD, 1, false, Duration.ZERO);
    }

    /**
     * Returns a copy of this route with another idempotency.
     *
     * @param newIdempotency whether its requests may run more than once
     * @return the changed route
     */
    public Route idempotency(Idempotency newIdempotency) {
        return new Route(methods, pathPrefix, newIdempotency, attempts, hedged, deadline);
    }

    /**
     * Returns a copy of this route with another number of attempts.
     *
     * @param newAttempts the maximum number of times that a request may be sent, including the first
     * @return the changed route
     */
    public Route attempts(int newAttempts) {
        return new Route(methods, pathPrefix, idempotency, newAttempts, hedged, deadline);
    }

    /** Returns a copy of this route whose requests may be hedged. */
    public Route hedging() {
        return new Route(methods, pathPrefix, idempotency, attempts, true, deadline);
    }

    /**
     * Returns a copy of this route with another deadline.
     *
     * @param newDeadline the time within which a request has to be answered, zero for the deadline of the service
     * @return the changed route
     */
    public Route deadline(Duration newDeadline) {
        return new Route(methods, pathPrefix, idempotency, attempts, hedged, newDeadline);
    }

    /**
     * Returns whether the route applies to a request.
     *
     * @param method the method of the request
     * @param path the path of the request without its query
     * @return whether the route has the method and its path prefix covers the path
     */
    public boolean covers(Method method, String path) {
        return methods.contains(method) && PathPrefix.covers(pathPrefix, path);
    }
}
