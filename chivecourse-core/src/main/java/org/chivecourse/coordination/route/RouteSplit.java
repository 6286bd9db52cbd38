package org.chivecourse.coordination.route;

import java.math.BigInteger;
import java.util.List;
import org.chivecourse.configuration.model.ServiceShare;

/**
 * Distributes the requests of a route among its services by smooth weighted round-robin. After any number of requests,
 * each service has received its share to within one request, or two if there are more than two services.
 *
 * <p>Each host distributes its own requests. It starts at a random turn of the rotation, so that of the first requests
 * of many hosts, and of each later one, every service gets its share.
 */
final class RouteSplit {

    /** The largest number of turns that a start skips. Bounds its time where the rotation is longer. */
    private static final int MAXIMUM_SKIPPED_TURNS = 1000;

    /** The services and their weights. */
    private final List<ServiceShare> shares;

    /** The sum of the weights. */
    private final long weightSum;

    /** The credit of each service in units of weight. The service with the highest credit takes the next request. */
    private final long[] credits;

    /** The number of turns to skip before the first request, zero after it. */
    private int turnsToSkip;

    /**
     * Creates a split.
     *
     * @param start the starting point of the rotation, from zero to one
     */
    RouteSplit(List<ServiceShare> shares, double start) {
        this.shares = shares;
        weightSum = shares.stream().mapToLong(ServiceShare::weight).sum();
        credits = new long[shares.size()];
        turnsToSkip = (int) (start * Math.min(MAXIMUM_SKIPPED_TURNS, rotationLength()));
    }

    /** Returns the number of turns after which the rotation repeats. */
    private long rotationLength() {
        BigInteger divisor = BigInteger.valueOf(weightSum);
        for (ServiceShare share : shares) {
            divisor = divisor.gcd(BigInteger.valueOf(share.weight()));
        }
        return weightSum / Math.max(1, divisor.longValue());
    }

    /** Returns the name of the service that takes the next request, and advances the rotation. */
    String next() {
        for (; turnsToSkip > 0; turnsToSkip--) {
            takeTurn();
        }
        return shares.get(takeTurn()).service();
    }

    /** Advances the rotation and returns the index of the service whose turn it was. */
    private int takeTurn() {
        int best = 0;
        for (int index = 0; index < credits.length; index++) {
            credits[index] += shares.get(index).weight();
            if (credits[index] > credits[best]) {
                best = index;
            }
        }
        credits[best] -= weightSum;
        return best;
    }
}
