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
     * @param peers the other gateways
     * @param now the time in nanoseconds
     * @return {@code true} if it is the last in the fixed order among the live ones of its data centre
     */
    boolean isRelay(FleetPeers peers, long now) {
        int ownRank = PublicationWatcherElection.rank(peers.self().name());
        for (FleetPeer peer : peers.live(now)) {
            if (peers.isLocal(peer)
                    && PublicationWatcherElection.rank(peer.member().name()) > ownRank) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the gateways that are told: one of each other data centre.
     *
     * @param peers the other gateways
     * @param now the time in nanoseconds
     * @return the gateways
     */
    List<FleetPeer> receivers(FleetPeers peers, long now) {
        Map<String, FleetPeer> highestByDataCentre = new TreeMap<>();
        for (FleetPeer peer : peers.live(now)) {
            if (!peers.isLocal(peer)) {
                highestByDataCentre.merge(peer.member().dataCentre(), peer, RelayElection::later);
            }
        }
        return List.copyOf(highestByDataCentre.values());
    }

    /**
     * Returns the later of two gateways in the fixed order.
     *
     * @param firstPeer a gateway
     * @param secondPeer another gateway
     * @return the later one
     */
    private static FleetPeer later(FleetPeer firstPeer, FleetPeer secondPeer) {
        int firstRank = PublicationWatcherElection.rank(firstPeer.member().name());
        return firstRank >= PublicationWatcherElection.rank(secondPeer.member().name()) ? firstPeer : secondPeer;
    }
}
