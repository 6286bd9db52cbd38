package org.chivecourse.configuration.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A service that callers reach below a path prefix.
 *
 * @param name the name
 * @param pathPrefix the path prefix of its requests
 * @param priority determines how early its calls are refused when a gateway is overloaded
 * @param limits the limits for the time, the queue and the retries of its requests
 * @param refusal the answer with which its backend servers state a refusal
 * @param measuring the probe budget of its backend servers
 * @param routes the routes of its requests, of which the first that covers a request applies
 * @param backendServers the configured backend servers
 * @param discovery how backend servers that are not configured are discovered
 * @param warmUp how its backend servers warm up
 */
public record Service(
        String name,
        String pathPrefix,
        Priority priority,
        Limits limits,
        RefusalSignal refusal,
        MeasuringBudget measuring,
        List<Route> routes,
        List<BackendServer> backendServers,
        Discovery discovery,
        WarmUp warmUp) {

    /** Creates a service with immutable copies of its lists. */
    public Service {
        routes = List.copyOf(routes);
        backendServers = List.copyOf(backendServers);
    }

    /**
     * Creates a service with default values and without routes and backend servers. Its path prefix is a slash and its
     * name.
     *
     * @param name the name
     * @return the service
     */
    public static Service named(String name) {
        return new Service(
                name,
                "/" + name,
                Priority.NORMAL,
                Limits.DEFAULT,
                RefusalSignal.NONE,
                MeasuringBudget.NONE,
                List.of(),
                List.of(),
                Discovery.NONE,
                WarmUp.NONE);
    }

    /**
     * Returns a copy of this service with another path prefix.
     *
     * @param newPathPrefix the path prefix of its requests
     * @return the changed service
     */
    public Service below(String newPathPrefix) {
        return new Service(
                name, newPathPrefix, priority, limits, refusal, measuring, routes, backendServers, discovery, warmUp);
    }

    /**
     * Returns a copy of this service with another priority.
     *
     * @param newPriority determines how early its calls are refused when a gateway is overloaded
     * @return the changed service
     */
    public Service priority(Priority newPriority) {
        return new Service(
                name, pathPrefix, newPriority, limits, refusal, measuring, routes, backendServers, discovery, warmUp);
    }

    /**
     * Returns a copy of this service with other limits.
     *
     * @param newLimits the limits for the time, the queue and the retries of its requests
     * @return the changed service
     */
    public Service limits(Limits newLimits) {
        return new Service(
                name, pathPrefix, priority, newLimits, refusal, measuring, routes, backendServers, discovery, warmUp);
    }

    /**
     * Returns a copy of this service with another refusal signal.
     *
     * @param signal the answer with which its backend servers state a refusal
     * @return the changed service
     */
    public Service refusal(RefusalSignal signal) {
        return new Service(
                name, pathPrefix, priority, limits, signal, measuring, routes, backendServers, discovery, warmUp);
    }

    /**
     * Returns a copy of this service with another probe budget.
     *
     * @param budget the probe budget of its backend servers
     * @return the changed service
     */
    public Service measuring(MeasuringBudget budget) {
        return new Service(
                name, pathPrefix, priority, limits, refusal, budget, routes, backendServers, discovery, warmUp);
    }

    /**
     * Returns a copy of this service with an additional route, which is considered after the existing ones.
     *
     * @param route the route
     * @return the changed service
     */
    public Service route(Route route) {
        List<Route> extendedRoutes = new ArrayList<>(routes);
        extendedRoutes.add(route);
        return routes(extendedRoutes);
    }

    /**
     * Returns a copy of this service with other routes.
     *
     * @param newRoutes the routes, of which the first that covers a request applies
     * @return the changed service
     */
    public Service routes(List<Route> newRoutes) {
        return new Service(
                name, pathPrefix, priority, limits, refusal, measuring, newRoutes, backendServers, discovery, warmUp);
    }

    /** Returns a copy of this service with an additional backend server. */
    public Service backendServer(BackendServer server) {
        List<BackendServer> extendedServers = new ArrayList<>(backendServers);
        extendedServers.add(server);
        return backendServers(extendedServers);
    }

    /** Returns a copy of this service with other backend servers. */
    public Service backendServers(List<BackendServer> servers) {
        return new Service(name, pathPrefix, priority, limits, refusal, measuring, routes, servers, discovery, warmUp);
    }

    /**
     * Returns a copy of this service with another discovery.
     *
     * @param newDiscovery how backend servers that are not configured are discovered
     * @return the changed service
     */
    public Service discovery(Discovery newDiscovery) {
        return new Service(
                name, pathPrefix, priority, limits, refusal, measuring, routes, backendServers, newDiscovery, warmUp);
    }

    /**
     * Returns a copy of this service with another warm-up.
     *
     * @param newWarmUp how its backend servers warm up
     * @return the changed service
     */
    public Service warmUp(WarmUp newWarmUp) {
        return new Service(
                name, pathPrefix, priority, limits, refusal, measuring, routes, backendServers, discovery, newWarmUp);
    }

    /**
     * Returns the first route that covers a request.
     *
     * @param method the method of the request
     * @param path the path of the request without its query
     * @return the route, empty if none covers the request
     */
    public Optional<Route> routeFor(Method method, String path) {
        for (Route route : routes) {
            if (route.covers(method, path)) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }
}
