package org.chivecourse.coordination.route;

import java.util.Arrays;
import java.util.List;
import org.chivecourse.configuration.model.ServiceShare;

/**
 * Distributes the requests of a route among its services by smooth weighted round-robin. After any number of requests,
 * each service has received its share to within one request.
 *
 * <p>Each host distributes its own requests. It starts at a random point of the rotation, so that the first requests of
 * many hosts do not all go to the same service.
 */
final class RouteSplit {

    /** The services and their weights. */
    private final List<ServiceShare> shares;

    /** The sum of the weights. */
    private final long weightSum;

    /** The credit of each service in units of weight. The service with the highest credit takes the next request. */
    private final double[] credits;

    /**
     * Creates a split.
     *
     * @param start the starting point of the rotation, from zero to one
     */
    RouteSplit(List<ServiceShare> shares, double start) {
        this.shares = shares;
        weightSum = shares.stream().mapToLong(ServiceShare::weight).sum();
        credits = new double[shares.size()];
        Arrays.setAll(credits, index -> shares.get(index).weight() * (start - 0.5));
    }

    /** Returns the name of the service that takes the next request, and advances the rotation. */
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
