package org.chivecourse.configuration.rule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivecourse.configuration.model.CallerRoute;
import org.chivecourse.configuration.model.MalformedPathException;
import org.chivecourse.configuration.model.NormalizedPath;

/** Finds routes by host name whose path prefix no request can match, or equals that of another route. */
public enum RoutePathRules {
    /** The only instance. */
    INSTANCE;

    /**
     * Checks the path prefixes of all routes.
     *
     * @param routes the routes
     * @return the dangerous findings, empty if there are none
     */
    public List<Finding> check(List<CallerRoute> routes) {
        List<Finding> findings = new ArrayList<>();
        Map<String, CallerRoute> known = new HashMap<>();
        for (int index = 0; index < routes.size(); index++) {
            CallerRoute route = routes.get(index);
            String problem = problem(route, known);
            if (problem != null) {
                findings.add(new Finding(Severity.DANGEROUS, "caller-routes[" + index + "].path-prefix", problem));
            }
        }
        return findings;
    }

    /**
     * Returns what is wrong with the path prefix of a route.
     *
     * @param known the routes before it, by host and normalized prefix; this one is added
     * @return the problem, {@code null} if there is none
     */
    private static String problem(CallerRoute route, Map<String, CallerRoute> known) {
        try {
            String key = route.host() + ' ' + NormalizedPath.ofPrefix(route.pathPrefix());
            CallerRoute equal = known.putIfAbsent(key, route);
            return equal == null
                    ? null
                    : "prefix \"" + route.pathPrefix() + "\" of route \"" + route.name() + "\" equals \""
                            + equal.pathPrefix() + "\" of route \"" + equal.name()
                            + "\" on the same host, so that only one of them gets requests; remove one";
        } catch (MalformedPathException exception) {
            return "prefix \"" + route.pathPrefix() + "\" of route \"" + route.name() + "\" matches no request: "
                    + exception.getMessage();
        }
    }
}
