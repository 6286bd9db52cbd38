package org.chivecourse.coordination.fleet;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Decides without agreement which gateway of a data centre tells others what its gateways see, and whom it tells. */
enum RelayElection {
    /** The only instance. */
    INSTANCE;

    /**
     * Returns whether this gateway tells other data centres.
     *
     * @param neighbours the other gateways
     * @param now the time in nanoseconds
     * @return {@code true} if it is the last in the fixed order among the live ones of its data centre
     */
    boolean relays(Neighbours neighbours, long now) {
        int own = WatchElection.rank(neighbours.self().name());
        for (Neighbour neighbour : neighbours.live(now)) {
            if (neighbours.near(neighbour)
                    && WatchElection.rank(neighbour.member().name()) > own) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the gateways that are told: one of each other data centre.
     *
     * @param neighbours the other gateways
     * @param now the time in nanoseconds
     * @return the gateways
     */
    List<Neighbour> receivers(Neighbours neighbours, long now) {
        Map<String, Neighbour> last = new TreeMap<>();
        for (Neighbour neighbour : neighbours.live(now)) {
            if (!neighbours.near(neighbour)) {
                last.merge(neighbour.member().dataCentre(), neighbour, RelayElection::later);
            }
        }
        return List.copyOf(last.values());
    }

    /**
     * Returns the later of two gateways in the fixed order.
     *
     * @param first a gateway
     * @param second another gateway
     * @return the later one
     */
    private static Neighbour later(Neighbour first, Neighbour second) {
        int firstRank = WatchElection.rank(first.member().name());
        return firstRank >= WatchElection.rank(second.member().name()) ? first : second;
    }
}
