package org.chivecourse.configuration.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * The rules for the requests of some methods below a path.
 *
 * @param methods the methods
 * @param pathPrefix the start of the path
 * @param idempotency the rule that says whether requests may run more than once
 * @param attempts the number of times a request may be sent, the first time included
 * @param hedged whether a second copy may be sent while the first is unanswered
 * @param deadline the time for a request, zero for that of the service
 */
public record Route(
        List<Method> methods,
        String pathPrefix,
        Idempotency idempotency,
        int attempts,
        boolean hedged,
        Duration deadline) {

    /**
     * Creates a route whose methods are copied.
     */
    public Route {
        methods = List.copyOf(methods);
    }

    /**
     * Creates a route of which each request is sent once.
     *
     * @param pathPrefix the start of the path
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
     * Returns this route with a rule for idempotency.
     *
     * @param newIdempotency the rule
     * @return the changed route
     */
    public Route idempotency(Idempotency newIdempotency) {
        return new Route(methods, pathPrefix, newIdempotency, attempts, hedged, deadline);
    }

    /**
     * Returns this route with a number of attempts.
     *
     * @param newAttempts the number of times a request may be sent, the first time included
     * @return the changed route
     */
    public Route attempts(int newAttempts) {
        return new Route(methods, pathPrefix, idempotency, newAttempts, hedged, deadline);
    }

    /**
     * Returns this route with hedging.
     *
     * @return the changed route
     */
    public Route hedging() {
        return new Route(methods, pathPrefix, idempotency, attempts, true, deadline);
    }

    /**
     * Returns this route with a deadline.
     *
     * @param newDeadline the time for a request
     * @return the changed route
     */
    public Route deadline(Duration newDeadline) {
        return new Route(methods, pathPrefix, idempotency, attempts, hedged, newDeadline);
    }

    /**
     * Returns whether the route covers a request.
     *
     * @param method the method of the request
     * @param path the path of the request
     * @return {@code true} if the route's rules apply
     */
    public boolean covers(Method method, String path) {
        return methods.contains(method) && PathPrefix.covers(pathPrefix, path);
    }
}
