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
    /** Elects the usual number of bridges. */
    INSTANCE(BridgeElection.FIRST_BRIDGES, BridgeElection.LAST_BRIDGES, 2, 1_000_000_000L),

    /** Elects few bridges, where bytes between data centres are dear. */
    FEW(BridgeElection.FIRST_BRIDGES, 1, 1, 5_000_000_000L);

    /** The number of bridges at the start of the rank order. */
    private static final int FIRST_BRIDGES = 2;

    /** The number of bridges at the end of the rank order. */
    private static final int LAST_BRIDGES = 3;

    /**
     * The number of bridges of a data centre. In a data centre with no more gateways than this, all of them are
     * bridges.
     */
    static final int BRIDGES_PER_DATA_CENTRE = FIRST_BRIDGES + LAST_BRIDGES;

    /** The number of bridges at the start of the rank order that are elected. */
    private final int firstBridges;

    /** The number of bridges at the end of the rank order that are elected. */
    private final int lastBridges;

    /** The number of other gateways that a bridge names in each regular digest to another data centre. */
    private final int namedMembers;

    /** The time between two requests to silent seeds while other data centres are known, in nanoseconds. */
    private final long seedRequestIntervalNanoseconds;

    /** Creates an election. */
    BridgeElection(int firstBridges, int lastBridges, int namedMembers, long seedRequestIntervalNanoseconds) {
        this.namedMembers = namedMembers;
        this.seedRequestIntervalNanoseconds = seedRequestIntervalNanoseconds;
        this.firstBridges = firstBridges;
        this.lastBridges = lastBridges;
    }

    /** Returns the number of other gateways that a bridge names in each regular digest to another data centre. */
    int namedMembers() {
        return namedMembers;
    }

    /** Returns the time between two requests to silent seeds while other data centres are known, in nanoseconds. */
    long seedRequestIntervalNanoseconds() {
        return seedRequestIntervalNanoseconds;
    }

    /**
     * Returns whether this gateway exchanges digests with other data centres.
     *
     * @param peers the other gateways of the fleet
     * @param now the current time in nanoseconds
     * @return {@code true} if few live gateways of its data centre rank below it, or few rank above it
     */
    boolean isBridge(FleetPeers peers, long now) {
        return isBridge(peers, peers.self().name(), now);
    }

    /** Returns whether a live gateway of this data centre exchanges digests with other ones. */
    boolean isBridge(FleetPeers peers, String name, long now) {
        int ownRank = PublicationWatcherElection.rank(name);
        boolean ranksSelf = !name.equals(peers.self().name());
        int lowerRankedCount = 0;
        int higherRankedCount = 0;
        if (ranksSelf) {
            boolean ranksLower = PublicationWatcherElection.rank(peers.self().name()) < ownRank;
            lowerRankedCount += ranksLower ? 1 : 0;
            higherRankedCount += ranksLower ? 0 : 1;
        }
        for (FleetPeer peer : peers.live(now)) {
            if (peers.isLocal(peer) && !peer.member().name().equals(name)) {
                boolean ranksLower =
                        PublicationWatcherElection.rank(peer.member().name()) < ownRank;
                lowerRankedCount += ranksLower ? 1 : 0;
                higherRankedCount += ranksLower ? 0 : 1;
            }
        }
        return lowerRankedCount < firstBridges || higherRankedCount < lastBridges;
    }

    /**
     * Returns whether this data centre has gateways that are not bridges, so that what its bridges receive from other
     * data centres has to be forwarded to them.
     *
     * @param peers the other gateways of the fleet
     * @return {@code true} if this data centre has more gateways than bridges
     */
    boolean mustForward(FleetPeers peers) {
        return peers.localCount() >= firstBridges + lastBridges;
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
            recipients.addAll(live.size() >= firstBridges + lastBridges ? live : all);
        });
        return recipients;
    }
}
