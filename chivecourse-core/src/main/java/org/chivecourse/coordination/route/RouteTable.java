package org.chivecourse.coordination.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.chivecourse.configuration.model.CallerRoute;
import org.chivecourse.configuration.model.Idempotency;
import org.chivecourse.configuration.model.MalformedPathException;
import org.chivecourse.configuration.model.NormalizedPath;

/**
 * The host-name routes of a configuration. Of the routes that match a request, the one with the longest path prefix
 * applies. Prefixes and paths are compared in their normalized form; a route whose prefix has none matches no request.
 */
public final class RouteTable {

    /**
     * The order in which routes are matched: by descending length of their prefixes. Of two with the same prefix, one
     * whose requests may not be repeated goes first.
     */
    private static final Comparator<PrefixedRoute> MATCHING_ORDER = Comparator.comparingInt(
                    (PrefixedRoute prefixed) -> -prefixed.prefix().length())
            .thenComparing(prefixed -> prefixed.route().idempotency() != Idempotency.NOT_IDEMPOTENT);

    /** The routes by host name, in the order in which they are matched. */
    private final Map<String, List<PrefixedRoute>> routes = new HashMap<>();

    /** The split of each route, by the route itself since the names of routes may repeat. */
    private final Map<CallerRoute, RouteSplit> splits = new IdentityHashMap<>();

    /**
     * Creates a table.
     *
     * @param random the source of the starting points of the splits
     */
    public RouteTable(List<CallerRoute> all, RandomGenerator random) {
        for (CallerRoute route : all) {
            List<PrefixedRoute> ofHost = routes.computeIfAbsent(route.host(), key -> new ArrayList<>());
            splits.put(route, new RouteSplit(route.services(), random.nextDouble()));
            try {
                ofHost.add(new PrefixedRoute(NormalizedPath.ofPrefix(route.pathPrefix()), route));
            } catch (MalformedPathException exception) {
                // No request has such a path, and the configuration's findings name the route.
            }
        }
        routes.values().forEach(list -> list.sort(MATCHING_ORDER));
    }

    /**
     * Returns the route of a request, or {@code null} if none covers it.
     *
     * @param host the host name that the request is addressed to, in lower case and without a port
     * @param path the normalized path of the request
     */
    public CallerRoute route(String host, String path) {
        for (PrefixedRoute prefixed : routes.getOrDefault(host, List.of())) {
            if (path.startsWith(prefixed.prefix())) {
                return prefixed.route();
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

    /**
     * A route with the form of its path prefix that paths are compared with.
     *
     * @param prefix the normalized prefix
     * @param route the route
     */
    private record PrefixedRoute(String prefix, CallerRoute route) {}
}
