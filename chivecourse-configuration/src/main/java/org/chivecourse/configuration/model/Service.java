package org.chivecourse.configuration.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A service that callers reach below a path.
 *
 * @param name the name
 * @param pathPrefix the start of the path of its requests
 * @param priority the order in which it keeps capacity
 * @param limits the bounds on the time, the waiting and the repetition of its requests
 * @param refusal the answer by which its backend servers state a refusal
 * @param measuring the bound on the work of measuring its backend servers
 * @param routes the rules for its requests, of which the first that covers a request applies
 * @param backendServers the backend servers
 * @param discovery how its backend servers beyond the configured ones become known
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
        Discovery discovery) {

    /**
     * Creates a service whose lists are copied.
     */
    public Service {
        routes = List.copyOf(routes);
        backendServers = List.copyOf(backendServers);
    }

    /**
     * Creates a service without routes and backend servers whose requests lie below its name.
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
                Discovery.NONE);
    }

    /**
     * Returns this service below another path.
     *
     * @param newPathPrefix the start of the path of its requests
     * @return the changed service
     */
    public Service below(String newPathPrefix) {
        return new Service(
                name, newPathPrefix, priority, limits, refusal, measuring, routes, backendServers, discovery);
    }

    /**
     * Returns this service with a priority.
     *
     * @param newPriority the order in which it keeps capacity
     * @return the changed service
     */
    public Service priority(Priority newPriority) {
        return new Service(
                name, pathPrefix, newPriority, limits, refusal, measuring, routes, backendServers, discovery);
    }

    /**
     * Returns this service with limits.
     *
     * @param newLimits the bounds on the time, the waiting and the repetition of its requests
     * @return the changed service
     */
    public Service limits(Limits newLimits) {
        return new Service(
                name, pathPrefix, priority, newLimits, refusal, measuring, routes, backendServers, discovery);
    }

    /**
     * Returns this service with an answer that states a refusal.
     *
     * @param signal the answer by which its backend servers state a refusal
     * @return the changed service
     */
    public Service refusal(RefusalSignal signal) {
        return new Service(name, pathPrefix, priority, limits, signal, measuring, routes, backendServers, discovery);
    }

    /**
     * Returns this service with a bound on measuring.
     *
     * @param budget the bound on the work of measuring its backend servers
     * @return the changed service
     */
    public Service measuring(MeasuringBudget budget) {
        return new Service(name, pathPrefix, priority, limits, refusal, budget, routes, backendServers, discovery);
    }

    /**
     * Returns this service with one more route.
     *
     * @param route the route, which applies after those before it
     * @return the changed service
     */
    public Service route(Route route) {
        List<Route> extendedRoutes = new ArrayList<>(routes);
        extendedRoutes.add(route);
        return routes(extendedRoutes);
    }

    /**
     * Returns this service with other routes.
     *
     * @param newRoutes the routes, of which the first that covers a request applies
     * @return the changed service
     */
    public Service routes(List<Route> newRoutes) {
        return new Service(
                name, pathPrefix, priority, limits, refusal, measuring, newRoutes, backendServers, discovery);
    }

    /**
     * Returns this service with one more backend server.
     *
     * @param server the backend server
     * @return the changed service
     */
    public Service backendServer(BackendServer server) {
        List<BackendServer> extendedServers = new ArrayList<>(backendServers);
        extendedServers.add(server);
        return backendServers(extendedServers);
    }

    /**
     * Returns this service with other backend servers.
     *
     * @param servers the backend servers
     * @return the changed service
     */
    public Service backendServers(List<BackendServer> servers) {
        return new Service(name, pathPrefix, priority, limits, refusal, measuring, routes, servers, discovery);
    }

    /**
     * Returns this service with backend servers that announce themselves.
     *
     * @param newDiscovery how its backend servers beyond the configured ones become known
     * @return the changed service
     */
    public Service discovery(Discovery newDiscovery) {
        return new Service(
                name, pathPrefix, priority, limits, refusal, measuring, routes, backendServers, newDiscovery);
    }

    /**
     * Returns the first route that covers a request.
     *
     * @param method the method of the request
     * @param path the path of the request
     * @return the route, if there is one
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
