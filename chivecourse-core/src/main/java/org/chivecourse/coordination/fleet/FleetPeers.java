package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.fleet.Member;

/**
 * The other gateways of a fleet that finds itself by seeds.
 *
 * <p>A gateway hears of others from those it knows, and counts one as live only while it hears of it from itself.
 */
public final class FleetPeers {

    /** The time after which a silent gateway of the same data centre is not live, in nanoseconds. */
    static final long MINIMUM_LOCAL_PEER_TIMEOUT_NANOSECONDS = 700_000_000L;

    /** The number of digests that a gateway of the same data centre may miss. */
    private static final int MAXIMUM_MISSED_DIGESTS = 3;

    /** The time after which a silent gateway of another data centre is not live, in nanoseconds. */
    static final long REMOTE_PEER_TIMEOUT_NANOSECONDS = 3_500_000_000L;

    /** The time after which a silent gateway is forgotten, in nanoseconds. */
    private static final long PEER_RETENTION_NANOSECONDS = 12_000_000_000L;

    /** The time for which the largest size of the fleet is remembered, in nanoseconds. */
    private static final long FLEET_SIZE_RETENTION_NANOSECONDS = 30_000_000_000L;

    /** The largest number of gateways that are remembered. */
    private static final int MAXIMUM_PEERS = 2000;

    /** This gateway. */
    private final Member self;

    /** The other gateways by name. */
    private final Map<String, FleetPeer> peersByName = new TreeMap<>();

    /** The live gateways at a time, {@code null} if they are not known. */
    private List<FleetPeer> cachedLive;

    /** The time of the live gateways, in nanoseconds. */
    private long cachedLiveAt;

    /** The number of remembered gateways of the same data centre. */
    private int localCount;

    /** The largest recent size of the fleet. */
    private int largestRecentSize = 1;

    /** The time at which the fleet had that size. */
    private long largestRecentSizeAt;

    /**
     * Creates a fleet of one gateway.
     *
     * @param self this gateway
     */
    FleetPeers(Member self) {
        this.self = self;
    }

    /**
     * Takes a digest.
     *
     * @param digest the digest
     * @param now the time in nanoseconds
     * @return the sender, or {@code null} if the digest is not new or this gateway's own
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
     * Takes word of a gateway, from itself or from another one.
     *
     * @param member the gateway
     * @param now the time in nanoseconds
     */
    private void addIfUnknown(Member member, long now) {
        boolean isOther = !member.name().equals(self.name());
        if (isOther && peersByName.size() < MAXIMUM_PEERS && !peersByName.containsKey(member.name())) {
            FleetPeer peer = new FleetPeer(member, now);
            peersByName.put(member.name(), peer);
            localCount += isLocal(peer) ? 1 : 0;
        }
    }

    /**
     * Notes a size of the fleet.
     *
     * @param size the number of gateways
     * @param now the time in nanoseconds
     */
    private void recordFleetSize(int size, long now) {
        if (size >= largestRecentSize || now - largestRecentSizeAt > FLEET_SIZE_RETENTION_NANOSECONDS) {
            largestRecentSize = size;
            largestRecentSizeAt = now;
        }
    }

    /**
     * Forgets gateways that have been silent for long.
     *
     * @param now the time in nanoseconds
     */
    void removeSilent(long now) {
        peersByName.values().removeIf(peer -> peer.sinceLastReceived(now) > PEER_RETENTION_NANOSECONDS);
        localCount = (int) peersByName.values().stream().filter(this::isLocal).count();
        recordFleetSize(countLive(now), now);
    }

    /**
     * Returns the number of live gateways, with those of other data centres that only their neighbours hear.
     *
     * @param now the time in nanoseconds
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
     * @param now the time in nanoseconds
     * @return the number, this gateway included
     */
    int dataCentreSize(long now) {
        return liveLocal(now).size() + 1;
    }

    /**
     * Returns whether a gateway is live.
     *
     * @param peer the gateway
     * @param now the time in nanoseconds
     * @return {@code true} if it was heard recently and is not stopping
     */
    boolean isLive(FleetPeer peer, long now) {
        long timeout = isLocal(peer) ? localPeerTimeoutNanoseconds() : REMOTE_PEER_TIMEOUT_NANOSECONDS;
        return peer.latestDigest() != null && !peer.latestDigest().stopping() && peer.sinceLastReceived(now) < timeout;
    }

    /**
     * Returns the time between two digests to the gateways of the same data centre while there is something to tell.
     *
     * @return the time in nanoseconds
     */
    public long localDigestIntervalNanoseconds() {
        return DigestSchedule.localDigestIntervalNanoseconds(localCount);
    }

    /**
     * Returns the time after which a silent gateway of the same data centre is not live.
     *
     * @return the time in nanoseconds, longer where many gateways tell each other less often
     */
    private long localPeerTimeoutNanoseconds() {
        return Math.max(
                MINIMUM_LOCAL_PEER_TIMEOUT_NANOSECONDS, MAXIMUM_MISSED_DIGESTS * localDigestIntervalNanoseconds());
    }

    /**
     * Returns the number of other gateways of the same data centre that are remembered.
     *
     * @return the number
     */
    int localCount() {
        return localCount;
    }

    /**
     * Returns whether a gateway stands in the same data centre as this one.
     *
     * @param peer the gateway
     * @return {@code true} if it does
     */
    boolean isLocal(FleetPeer peer) {
        return peer.member().dataCentre().equals(self.dataCentre());
    }

    /**
     * Returns the live gateways.
     *
     * @param now the time in nanoseconds
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
     * @param now the time in nanoseconds
     * @return the gateways in the order of their names
     */
    List<FleetPeer> liveLocal(long now) {
        return live(now).stream().filter(this::isLocal).toList();
    }

    /**
     * Returns all gateways that are remembered.
     *
     * @return the gateways in the order of their names
     */
    public Collection<FleetPeer> all() {
        return peersByName.values();
    }

    /**
     * Returns the number of gateways that may run at the same time, as far as can be known.
     *
     * @return the largest recent number, this gateway included
     */
    public int fleetSize() {
        return largestRecentSize;
    }

    /**
     * Returns this gateway.
     *
     * @return the member
     */
    Member self() {
        return self;
    }
}
