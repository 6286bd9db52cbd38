package org.chivecourse.coordination.route;

import java.util.Arrays;
import java.util.List;
import org.chivecourse.configuration.model.ServiceShare;

/**
 * Deals the requests of a route to its services, so that after any number of requests each service has had its share
 * to within one request.
 *
 * <p>Each host deals for itself. It begins at a place of its own, so that the first requests of many hosts are not all
 * dealt alike.
 */
final class RouteSplit {

    /** The services and their weights. */
    private final List<ServiceShare> shares;

    /** The sum of the weights. */
    private final int weightSum;

    /** What each service is owed, in weights. */
    private final double[] credits;

    /**
     * Creates a split.
     *
     * @param shares the services and their weights
     * @param start where to begin, from zero up to one
     */
    RouteSplit(List<ServiceShare> shares, double start) {
        this.shares = shares;
        weightSum = shares.stream().mapToInt(ServiceShare::weight).sum();
        credits = new double[shares.size()];
        Arrays.setAll(credits, index -> shares.get(index).weight() * (start - 0.5));
    }

    /**
     * Returns the service that takes the next request.
     *
     * @return the name of the service
     */
    String next() {
        int best = 0;
        for (int index = 0; index < credits.length; index++) {
            credits[index] += shares.get(index).weight();
            if (credits[index] > credits[best]) {
                best = index;
            }
        }
        credits[best] -= weightSum;
        return shares.get(best).service();
    }
}
