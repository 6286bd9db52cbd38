package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides without agreement which gateways of a data centre exchange digests with other data centres, so that the
 * number of such digests does not grow with the square of the number of gateways: the first and the last few in the
 * fixed order, among which are those that watch the publisher and the one that tells what was seen.
 */
enum BridgeElection {
    /** The only instance. */
    INSTANCE;

    /** The number of gateways that speak as the first in the fixed order. */
    private static final int FIRST_BRIDGES = 2;

    /** The number of gateways that speak as the last in the fixed order. */
    private static final int LAST_BRIDGES = 3;

    /** The number of gateways of a data centre up to which all of them speak. */
    static final int BRIDGES_PER_DATA_CENTRE = FIRST_BRIDGES + LAST_BRIDGES;

    /**
     * Returns whether this gateway exchanges digests with other data centres.
     *
     * @param peers the other gateways
     * @param now the time in nanoseconds
     * @return {@code true} if few live ones of its data centre go before it, or few come after it
     */
    boolean isBridge(FleetPeers peers, long now) {
        int ownRank = PublicationWatcherElection.rank(peers.self().name());
        int before = 0;
        int after = 0;
        for (FleetPeer peer : peers.live(now)) {
            if (peers.isLocal(peer)) {
                boolean ranksLower =
                        PublicationWatcherElection.rank(peer.member().name()) < ownRank;
                before += ranksLower ? 1 : 0;
                after += ranksLower ? 0 : 1;
            }
        }
        return before < FIRST_BRIDGES || after < LAST_BRIDGES;
    }

    /**
     * Returns whether some gateways of this data centre do not speak, so that others have to pass on what they hear.
     *
     * @param peers the other gateways
     * @return {@code true} if there are more gateways than speak
     */
    boolean mustForward(FleetPeers peers) {
        return peers.localCount() >= BRIDGES_PER_DATA_CENTRE;
    }

    /**
     * Returns the gateways of other data centres that are told: those that are heard, and where these are few, the
     * others that are worth telling.
     *
     * @param peers the other gateways
     * @param now the time in nanoseconds
     * @return the gateways
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
