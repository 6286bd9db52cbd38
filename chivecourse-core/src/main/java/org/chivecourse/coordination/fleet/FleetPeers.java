package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.fleet.Member;

/**
 * The other gateways of a fleet that is discovered through seeds.
 *
 * <p>A gateway learns of others from the digests of those that it knows. It counts another gateway as live only while
 * it receives digests from that gateway directly.
 */
public final class FleetPeers {

    /**
     * The shortest time without a digest after which a gateway of the same data centre is no longer live, in
     * nanoseconds.
     */
    static final long MINIMUM_LOCAL_PEER_TIMEOUT_NANOSECONDS = 700_000_000L;

    /**
     * The number of consecutive digests that may be missing before a gateway of the same data centre is no longer live.
     */
    private static final int MAXIMUM_MISSED_DIGESTS = 3;

    /** The time without a digest after which a gateway of another data centre is no longer live, in nanoseconds. */
    static final long REMOTE_PEER_TIMEOUT_NANOSECONDS = 3_500_000_000L;

    /** The time without a digest after which a gateway is removed, in nanoseconds. */
    private static final long PEER_RETENTION_NANOSECONDS = 12_000_000_000L;

    /** The time after which a recorded fleet size may be replaced by a smaller one, in nanoseconds. */
    private static final long FLEET_SIZE_RETENTION_NANOSECONDS = 30_000_000_000L;

    /** The maximum number of peers, and an upper bound for fleet sizes that other gateways report. */
    private static final int MAXIMUM_PEERS = 2000;

    /** The name, address and data centre of this gateway. */
    private final Member self;

    /** Elects the gateways that exchange digests with other data centres. */
    private final BridgeElection bridges;

    /** The known gateways by name, including those that are not live. */
    private final Map<String, FleetPeer> peersByName = new TreeMap<>();

    /** The live gateways at {@link #cachedLiveAt}, {@code null} if they have to be determined again. */
    private List<FleetPeer> cachedLive;

    /** The only time for which {@link #cachedLive} is valid, in nanoseconds. */
    private long cachedLiveAt;

    /** The number of known gateways of the same data centre, this one not included. */
    private int localCount;

    /** The largest fleet size that was recorded recently, this gateway included. */
    private int largestRecentSize = 1;

    /** The time at which that fleet size was last recorded, in nanoseconds. */
    private long largestRecentSizeAt;

    /**
     * Creates a fleet without other gateways.
     *
     * @param self the name, address and data centre of this gateway
     */
    FleetPeers(Member self) {
        this(self, BridgeElection.INSTANCE);
    }

    /**
     * Creates a fleet without other gateways.
     *
     * @param self the name, address and data centre of this gateway
     * @param bridges elects the gateways that exchange digests with other data centres
     */
    FleetPeers(Member self, BridgeElection bridges) {
        this.self = self;
        this.bridges = bridges;
    }

    /** Returns whether this bridge repeats what is known of suspected requests to other data centres. */
    boolean repeatsSuspicions(long now) {
        return bridges == BridgeElection.INSTANCE || RelayElection.INSTANCE.isRelay(this, now);
    }

    /** Returns the time between two digest requests to seeds that are not live, in nanoseconds. */
    long seedRequestInterval(long now) {
        boolean alone = live(now).stream().allMatch(this::isLocal);
        return alone ? DigestSchedule.REMOTE_DIGEST_INTERVAL_NANOSECONDS : bridges.seedRequestIntervalNanoseconds();
    }

    /** Returns whether this gateway exchanges digests with other data centres, and so knows which of them live. */
    public boolean isBridge(long now) {
        return bridges.isBridge(this, now);
    }

    /** Returns whether another gateway of this data centre exchanges digests with other ones. */
    public boolean isBridge(FleetPeer peer, long now) {
        return bridges.isBridge(this, peer.member().name(), now);
    }

    /** Returns the election of the gateways that exchange digests with other data centres. */
    BridgeElection bridges() {
        return bridges;
    }

    /**
     * Accepts a digest and adds the gateways that it names. A digest from this gateway itself, one that is not new, or
     * one from an unknown gateway when {@link #MAXIMUM_PEERS} are known is ignored.
     *
     * @param digest the digest
     * @param now the current time in nanoseconds
     * @return the sender, {@code null} if the digest is ignored
     */
    FleetPeer accept(FleetDigest digest, long now) {
        String name = digest.sender().name();
        if (name.equals(self.name()) || peersByName.size() >= MAXIMUM_PEERS && !peersByName.containsKey(name)) {
            return null;
        }
        addIfUnknown(digest.sender(), now);
        FleetPeer peer = peersByName.get(name);
        if (!peer.accept(digest, now)) {
            return null;
        }
        cachedLive = null;
        digest.members().forEach(member -> addIfUnknown(member, now));
        if (digest.stopping()) {
            return peer;
        }
        recordFleetSize(Math.min(digest.fleetSize(), MAXIMUM_PEERS), now);
        return peer;
    }

    /**
     * Adds a gateway that is not known yet, unless it is this one or {@link #MAXIMUM_PEERS} are known.
     *
     * @param member the name, address and data centre of the gateway
     * @param now the current time in nanoseconds
     */
    private void addIfUnknown(Member member, long now) {
        boolean isOther = !member.name().equals(self.name());
        if (isOther && peersByName.size() < MAXIMUM_PEERS && !peersByName.containsKey(member.name())) {
            FleetPeer peer = new FleetPeer(member, self.dataCentre(), now);
            peersByName.put(member.name(), peer);
            localCount += isLocal(peer) ? 1 : 0;
        }
    }

    /**
     * Records a fleet size. A smaller size than the recorded one takes effect only after {@link
     * #FLEET_SIZE_RETENTION_NANOSECONDS}.
     *
     * @param size the number of gateways
     * @param now the current time in nanoseconds
     */
    private void recordFleetSize(int size, long now) {
        if (size >= largestRecentSize || now - largestRecentSizeAt > FLEET_SIZE_RETENTION_NANOSECONDS) {
            largestRecentSize = size;
            largestRecentSizeAt = now;
        }
    }

    /**
     * Removes gateways that have sent no digest for {@link #PEER_RETENTION_NANOSECONDS} and records the current fleet
     * size.
     *
     * @param now the current time in nanoseconds
     */
    void removeSilent(long now) {
        peersByName.values().removeIf(peer -> peer.sinceLastReceived(now) > PEER_RETENTION_NANOSECONDS);
        localCount = (int) peersByName.values().stream().filter(this::isLocal).count();
        recordFleetSize(countLive(now), now);
    }

    /**
     * Returns the number of live gateways of the fleet. For each data centre it counts the larger of the number of
     * gateways that this one receives digests from and the number that they report, since non-bridges of other data
     * centres are only known to their local peers.
     *
     * @param now the current time in nanoseconds
     * @return the number, this gateway included
     */
    private int countLive(long now) {
        Map<String, Integer> direct = new TreeMap<>();
        Map<String, Integer> reported = new TreeMap<>();
        for (FleetPeer peer : live(now)) {
            String dataCentre = peer.member().dataCentre();
            direct.merge(dataCentre, 1, Integer::sum);
            reported.merge(dataCentre, Math.min(peer.latestDigest().dataCentreSize(), MAXIMUM_PEERS), Math::max);
        }
        direct.merge(self.dataCentre(), 1, Integer::sum);
        int sum = 0;
        for (Map.Entry<String, Integer> entry : direct.entrySet()) {
            sum += Math.max(entry.getValue(), reported.getOrDefault(entry.getKey(), 0));
        }
        return Math.min(sum, MAXIMUM_PEERS);
    }

    /**
     * Returns the number of live gateways of this data centre.
     *
     * @param now the current time in nanoseconds
     * @return the number, this gateway included
     */
    int dataCentreSize(long now) {
        return liveLocal(now).size() + 1;
    }

    /**
     * Returns whether a gateway is live.
     *
     * @param peer the gateway
     * @param now the current time in nanoseconds
     * @return {@code true} if it has sent a digest recently and is not stopping
     */
    boolean isLive(FleetPeer peer, long now) {
        long timeout = isLocal(peer) ? localPeerTimeoutNanoseconds() : REMOTE_PEER_TIMEOUT_NANOSECONDS;
        return peer.latestDigest() != null && !peer.latestDigest().stopping() && peer.sinceLastReceived(now) < timeout;
    }

    /**
     * Returns the interval between two digests to the gateways of the same data centre while observations are pending.
     *
     * @return the interval in nanoseconds
     */
    public long localDigestIntervalNanoseconds() {
        return DigestSchedule.localDigestIntervalNanoseconds(localCount);
    }

    /**
     * Returns the shortest interval between two digests to the gateways of the same data centre while an urgent
     * observation is pending.
     *
     * @return the interval in nanoseconds
     */
    long urgentIntervalNanoseconds() {
        return DigestSchedule.urgentIntervalNanoseconds(localCount);
    }

    /**
     * Returns the time without a digest after which a gateway of the same data centre is no longer live.
     *
     * @return the time in nanoseconds, which grows with the digest interval of a large data centre
     */
    private long localPeerTimeoutNanoseconds() {
        return Math.max(
                MINIMUM_LOCAL_PEER_TIMEOUT_NANOSECONDS, MAXIMUM_MISSED_DIGESTS * localDigestIntervalNanoseconds());
    }

    /** Returns the number of known gateways of the same data centre, this one not included. */
    int localCount() {
        return localCount;
    }

    /**
     * Returns whether a gateway is in the same data centre as this one.
     *
     * @param peer the gateway
     * @return {@code true} if it is
     */
    public boolean isLocal(FleetPeer peer) {
        return peer.local();
    }

    /**
     * Returns the live gateways. The list is computed once for each time and invalidated by a new digest.
     *
     * @param now the current time in nanoseconds
     * @return the gateways in the order of their names
     */
    public List<FleetPeer> live(long now) {
        if (now == cachedLiveAt && cachedLive != null) {
            return cachedLive;
        }
        List<FleetPeer> found = new ArrayList<>(peersByName.size());
        for (FleetPeer peer : peersByName.values()) {
            if (isLive(peer, now)) {
                found.add(peer);
            }
        }
        cachedLiveAt = now;
        cachedLive = found;
        return found;
    }

    /**
     * Returns the live gateways of the same data centre.
     *
     * @param now the current time in nanoseconds
     * @return the gateways in the order of their names
     */
    List<FleetPeer> liveLocal(long now) {
        return live(now).stream().filter(this::isLocal).toList();
    }

    /**
     * Returns all known gateways, including those that are not live.
     *
     * @return the gateways in the order of their names
     */
    public Collection<FleetPeer> all() {
        return peersByName.values();
    }

    /**
     * Returns whether an IP address is that of a known gateway.
     *
     * @param address the IP address
     * @return {@code true} if a known gateway listens for others at it
     */
    public boolean includes(String address) {
        String prefix = address + ':';
        return peersByName.values().stream()
                .anyMatch(peer -> peer.member().address().startsWith(prefix));
    }

    /**
     * Returns the number of gateways that may be running at the same time, as far as this one knows.
     *
     * @return the largest recently recorded number, this gateway included
     */
    public int fleetSize() {
        return largestRecentSize;
    }

    /** Returns the name, address and data centre of this gateway. */
    public Member self() {
        return self;
    }
}
