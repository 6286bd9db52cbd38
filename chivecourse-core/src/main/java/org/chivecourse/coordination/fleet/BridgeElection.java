package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Elects the bridges of a data centre: the few gateways that exchange digests with other data centres on behalf of the
 * others. If every gateway did so, the number of these digests would grow with the square of the number of gateways.
 *
 * <p>Each gateway evaluates the election on its own from the live peers that it knows, without coordination. The
 * bridges are the first and the last few of a data centre in the order of {@link PublicationWatcherElection#rank}. They
 * normally include the gateways that watch the publisher, which rank first, and always the one that relays
 * observations, which ranks last.
 */
enum BridgeElection {
    /** The only instance. */
    INSTANCE;

    /** The number of bridges at the start of the rank order. */
    private static final int FIRST_BRIDGES = 2;

    /** The number of bridges at the end of the rank order. */
    private static final int LAST_BRIDGES = 3;

    /**
     * The number of bridges of a data centre. In a data centre with no more gateways than this, all of them are
     * bridges.
     */
    static final int BRIDGES_PER_DATA_CENTRE = FIRST_BRIDGES + LAST_BRIDGES;

    /**
     * Returns whether this gateway exchanges digests with other data centres.
     *
     * @param peers the other gateways of the fleet
     * @param now the current time in nanoseconds
     * @return {@code true} if fewer than {@link #FIRST_BRIDGES} live gateways of its data centre rank below it, or
     *     fewer than {@link #LAST_BRIDGES} rank above it
     */
    boolean isBridge(FleetPeers peers, long now) {
        int ownRank = PublicationWatcherElection.rank(peers.self().name());
        int lowerRankedCount = 0;
        int higherRankedCount = 0;
        for (FleetPeer peer : peers.live(now)) {
            if (peers.isLocal(peer)) {
                boolean ranksLower =
                        PublicationWatcherElection.rank(peer.member().name()) < ownRank;
                lowerRankedCount += ranksLower ? 1 : 0;
                higherRankedCount += ranksLower ? 0 : 1;
            }
        }
        return lowerRankedCount < FIRST_BRIDGES || higherRankedCount < LAST_BRIDGES;
    }

    /**
     * Returns whether this data centre has gateways that are not bridges, so that what its bridges receive from other
     * data centres has to be forwarded to them.
     *
     * @param peers the other gateways of the fleet
     * @return {@code true} if this data centre has more gateways than bridges
     */
    boolean mustForward(FleetPeers peers) {
        return peers.localCount() >= BRIDGES_PER_DATA_CENTRE;
    }

    /**
     * Returns the gateways of other data centres that a bridge sends digests to: the live ones of each data centre, or
     * all known ones of a data centre that has fewer live gateways than bridges.
     *
     * @param peers the other gateways of the fleet
     * @param now the current time in nanoseconds
     * @return the recipients, including gateways that are only known indirectly
     */
    List<FleetPeer> remoteRecipients(FleetPeers peers, long now) {
        Map<String, List<FleetPeer>> liveByDataCentre = new TreeMap<>();
        Map<String, List<FleetPeer>> knownByDataCentre = new TreeMap<>();
        for (FleetPeer peer : peers.all()) {
            if (peers.isLocal(peer)) {
                continue;
            }
            String dataCentre = peer.member().dataCentre();
            knownByDataCentre
                    .computeIfAbsent(dataCentre, key -> new ArrayList<>())
                    .add(peer);
            if (peers.isLive(peer, now)) {
                liveByDataCentre
                        .computeIfAbsent(dataCentre, key -> new ArrayList<>())
                        .add(peer);
            }
        }
        List<FleetPeer> recipients = new ArrayList<>();
        knownByDataCentre.forEach((dataCentre, all) -> {
            List<FleetPeer> live = liveByDataCentre.getOrDefault(dataCentre, List.of());
            recipients.addAll(live.size() >= BRIDGES_PER_DATA_CENTRE ? live : all);
        });
        return recipients;
    }
}
