package org.chivecourse.coordination.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.chivecourse.configuration.model.CallerRoute;

/**
 * The host-name routes of a configuration. Of the routes that match a request, the one with the longest path prefix
 * applies.
 */
public final class RouteTable {

    /** The routes by host name, sorted by descending length of their path prefixes. */
    private final Map<String, List<CallerRoute>> routes = new HashMap<>();

    /** The split of each route, by the route itself since the names of routes may repeat. */
    private final Map<CallerRoute, RouteSplit> splits = new IdentityHashMap<>();

    /**
     * Creates a table.
     *
     * @param random the source of the starting points of the splits
     */
    public RouteTable(List<CallerRoute> all, RandomGenerator random) {
        for (CallerRoute route : all) {
            routes.computeIfAbsent(route.host(), key -> new ArrayList<>()).add(route);
            splits.put(route, new RouteSplit(route.services(), random.nextDouble()));
        }
        Comparator<CallerRoute> byLength =
                Comparator.comparingInt(route -> -route.pathPrefix().length());
        routes.values().forEach(list -> list.sort(byLength));
    }

    /**
     * Returns the route of a request, or {@code null} if none covers it.
     *
     * @param host the host name that the request is addressed to, in lower case and without a port
     * @param path the path of the request without the query
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
     * Returns the name of the service that takes the next request of a route, and advances its split.
     *
     * @param route a route of this table
     */
    public String nextService(CallerRoute route) {
        return splits.get(route).next();
    }

    /** Returns whether there are no routes, so that the path prefixes of services apply. */
    public boolean isEmpty() {
        return routes.isEmpty();
    }
}
