package org.chivecourse.coordination.fleet;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Elects the gateway of a data centre that relays the observations of its gateways to other data centres, and the
 * gateway of each other data centre that receives them. Each gateway evaluates the election on its own, without
 * coordination.
 */
enum RelayElection {
    /** The only instance. */
    INSTANCE;

    /**
     * Returns whether this gateway relays to other data centres.
     *
     * @param peers the other gateways of the fleet
     * @param now the current time in nanoseconds
     * @return {@code true} if no live gateway of its data centre has a higher rank
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
     * Returns the gateways that observations are relayed to: the live one with the highest rank of each other data
     * centre.
     *
     * @param peers the other gateways of the fleet
     * @param now the current time in nanoseconds
     * @return the recipients, at most one for each data centre
     */
    List<FleetPeer> recipients(FleetPeers peers, long now) {
        Map<String, FleetPeer> highestByDataCentre = new TreeMap<>();
        for (FleetPeer peer : peers.live(now)) {
            if (!peers.isLocal(peer)) {
                highestByDataCentre.merge(peer.member().dataCentre(), peer, RelayElection::higherRanked);
            }
        }
        return List.copyOf(highestByDataCentre.values());
    }

    /**
     * Returns the gateway with the higher rank.
     *
     * @param firstPeer a gateway, preferred if the ranks are equal
     * @param secondPeer another gateway
     * @return the gateway with the higher rank
     */
    private static FleetPeer higherRanked(FleetPeer firstPeer, FleetPeer secondPeer) {
        int firstRank = PublicationWatcherElection.rank(firstPeer.member().name());
        return firstRank >= PublicationWatcherElection.rank(secondPeer.member().name()) ? firstPeer : secondPeer;
    }
}
