package org.chivecourse.coordination.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.chivecourse.configuration.model.CallerRoute;

/** The routes of a configuration by host name, of which the one with the longest path prefix applies. */
public final class RouteTable {

    /** The routes by host name, those with longer path prefixes first. */
    private final Map<String, List<CallerRoute>> routes = new HashMap<>();

    /** The splits by the name of their route. */
    private final Map<String, RouteSplit> splits = new HashMap<>();

    /**
     * Creates a table.
     *
     * @param all the routes
     * @param random the source of randomness
     */
    public RouteTable(List<CallerRoute> all, RandomGenerator random) {
        for (CallerRoute route : all) {
            routes.computeIfAbsent(route.host(), key -> new ArrayList<>()).add(route);
            splits.put(route.name(), new RouteSplit(route.services(), random.nextDouble()));
        }
        Comparator<CallerRoute> byLength =
                Comparator.comparingInt(route -> -route.pathPrefix().length());
        routes.values().forEach(list -> list.sort(byLength));
    }

    /**
     * Returns the route of a request.
     *
     * @param host the host name that it is addressed to, in lower case and without a port
     * @param path its path without the query
     * @return the route, or {@code null} if none covers it
     */
    public CallerRoute route(String host, String path) {
        for (CallerRoute route : routes.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return route;
            }
        }
        return null;
    }

    /**
     * Returns the service that takes the next request of a route.
     *
     * @param route the route
     * @return the name of the service
     */
    public String nextService(CallerRoute route) {
        return splits.get(route.name()).next();
    }

    /**
     * Returns whether there are no routes.
     *
     * @return {@code true} if the path prefixes of services decide
     */
    public boolean isEmpty() {
        return routes.isEmpty();
    }
}
