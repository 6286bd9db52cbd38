package org.chivecourse.coordination.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.state.peer.ListedHost;
import org.chivecourse.state.peer.PeerDigest;
import org.chivecourse.state.peer.PeerState;

/**
 * The other gateways.
 *
 * <p>The platform's host list says which hosts there may be, and digests say which of them are there. In each round a
 * host sends its digest to a fixed number of others, each once before any a second time, so that the bytes that it
 * sends do not depend on the size of the fleet and the time until it hears of a failure does.
 */
public final class Membership {

    /** The time between two rounds, in nanoseconds. */
    public static final long ROUND_INTERVAL_NANOSECONDS = 200_000_000L;

    /** The number of peers that get a digest in each round. */
    public static final int FAN_OUT = 2;

    /** The number of missed turns after which a peer counts as unreachable. */
    private static final int MAXIMUM_MISSED_CYCLES = 4;

    /** The shortest time after which a silent peer counts as unreachable, in nanoseconds. */
    private static final long MINIMUM_PEER_TIMEOUT_NANOSECONDS = 3_000_000_000L;

    /** The time for which a new gateway waits for the digests of its peers, in nanoseconds. */
    private static final long JOIN_TIMEOUT_NANOSECONDS = 2_000_000_000L;

    /** The time for which a new gateway waits for a higher configuration that it has heard of, in nanoseconds. */
    private static final long CATCH_UP_TIMEOUT_NANOSECONDS = 5_000_000_000L;

    /** What the core knows of its host. */
    private final HostSettings settings;

    /** The source of randomness. */
    private final RandomGenerator random;

    /** The peers by name. */
    private final Map<String, PeerState> peers = new TreeMap<>();

    /** The hosts that served callers without being listed, by name. */
    private final Map<String, UnlistedHost> unlistedHosts = new TreeMap<>();

    /** The peers that get a digest in the next rounds. */
    private final List<PeerState> sendQueue = new ArrayList<>();

    /** The time of the last round in nanoseconds. */
    private long lastRoundAt;

    /** The time of the first event in nanoseconds. */
    private long startedAt;

    /** Whether there was an event. */
    private boolean started;

    /** Whether the host list was read. */
    private boolean hostListKnown;

    /**
     * Creates a membership without peers.
     *
     * @param settings what the core knows of its host
     * @param random the source of randomness
     */
    public Membership(HostSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    /**
     * Takes the host list over; hosts that it no longer names are no peers any more.
     *
     * @param hosts the hosts
     * @param now the time in nanoseconds
     */
    public void updateHostList(List<ListedHost> hosts, long now) {
        hostListKnown = true;
        Map<String, PeerState> next = new TreeMap<>();
        for (ListedHost host : hosts) {
            if (host.name().equals(settings.name())) {
                continue;
            }
            PeerState known = peers.get(host.name());
            if (known == null) {
                known = new PeerState(host);
            } else {
                known.updateHost(host);
            }
            next.put(host.name(), known);
        }
        peers.forEach((name, peer) -> {
            if (!next.containsKey(name)) {
                recordServing(name, peer.host().address(), now);
            }
        });
        peers.clear();
        peers.putAll(next);
        sendQueue.clear();
    }

    /**
     * Notes that a host serves callers, or did until now, whether it is listed or not.
     *
     * @param name the name of the host
     * @param address the address at which its gateway listens for other gateways
     * @param now the time in nanoseconds
     */
    public void recordServing(String name, String address, long now) {
        unlistedHosts.put(name, new UnlistedHost(new ListedHost(name, address, "", false), now));
    }

    /**
     * Returns whether the host list was read.
     *
     * @return {@code true} after the first time
     */
    public boolean hostListKnown() {
        return hostListKnown;
    }

    /**
     * Returns all hosts that serve callers as far as this one can know.
     *
     * @param now the time in nanoseconds
     * @return the listed hosts, and others that were noted within the lifetime of keys
     */
    public List<ListedHost> possiblyServingHosts(long now) {
        List<ListedHost> hosts = new ArrayList<>();
        peers.values().forEach(peer -> hosts.add(peer.host()));
        unlistedHosts
                .values()
                .removeIf(other -> now - other.lastServedAt() >= settings.keys().lifetimeNanoseconds());
        unlistedHosts.forEach((name, other) -> {
            if (!peers.containsKey(name) && !name.equals(settings.name())) {
                hosts.add(other.host());
            }
        });
        return hosts;
    }

    /**
     * Takes a digest.
     *
     * @param digest the digest
     * @param now the time in nanoseconds
     * @return the peer, or {@code null} if the digest is of no listed host or not new
     */
    public PeerState acceptDigest(PeerDigest digest, long now) {
        PeerState peer = peers.get(digest.name());
        return peer != null && peer.recordDigest(digest, now) ? peer : null;
    }

    /**
     * Returns the peers that get a digest now.
     *
     * @param now the time in nanoseconds
     * @return the peers, all of them in the first round with a host list, empty between rounds
     */
    public List<PeerState> duePeers(long now) {
        if (!started) {
            started = true;
            startedAt = now;
            lastRoundAt = now - ROUND_INTERVAL_NANOSECONDS;
        }
        if (now - lastRoundAt < ROUND_INTERVAL_NANOSECONDS || peers.isEmpty()) {
            return List.of();
        }
        lastRoundAt = now;
        if (!joined(now)) {
            return peersWithoutDigest();
        }
        List<PeerState> due = new ArrayList<>(FAN_OUT);
        for (int count = 0; count < Math.min(FAN_OUT, peers.size()); count++) {
            due.add(nextPeer());
        }
        return due;
    }

    /**
     * Returns the peers that were never heard.
     *
     * @return the peers
     */
    private List<PeerState> peersWithoutDigest() {
        return peers.values().stream()
                .filter(peer -> peer.latestDigest() == null)
                .toList();
    }

    /**
     * Returns the peer whose turn it is.
     *
     * @return the peer
     */
    private PeerState nextPeer() {
        if (sendQueue.isEmpty()) {
            sendQueue.addAll(peers.values());
            Collections.shuffle(sendQueue, new Random(random.nextLong()));
        }
        return sendQueue.remove(sendQueue.size() - 1);
    }

    /**
     * Returns whether the gateway has heard what its peers know, or has waited long enough for it.
     *
     * @param now the time in nanoseconds
     * @return {@code true} if it may serve
     */
    public boolean joined(long now) {
        if (!settings.exchangesDigests()) {
            return true;
        }
        boolean receivedAll = hostListKnown && peersWithoutDigest().isEmpty();
        return receivedAll || started && now - startedAt >= JOIN_TIMEOUT_NANOSECONDS;
    }

    /**
     * Returns whether a new gateway has heard of a configuration that goes before its own and may still get it.
     *
     * @param revision the revision of its own configuration
     * @param digest the digest of its own configuration
     * @param now the time in nanoseconds
     * @return {@code true} if it does not serve yet for that reason
     */
    public boolean catchingUp(long revision, String digest, long now) {
        if (now - startedAt >= CATCH_UP_TIMEOUT_NANOSECONDS) {
            return false;
        }
        return peers.values().stream()
                .anyMatch(peer ->
                        peer.latestDigest() != null && peer.latestDigest().announcesNewerThan(revision, digest));
    }

    /**
     * Returns the time after which a silent peer counts as unreachable.
     *
     * @return the time in nanoseconds, which grows with the number of peers
     */
    public long peerTimeoutNanoseconds() {
        long cycleNanoseconds = (peers.size() / FAN_OUT + 1) * ROUND_INTERVAL_NANOSECONDS;
        return Math.max(MINIMUM_PEER_TIMEOUT_NANOSECONDS, MAXIMUM_MISSED_CYCLES * cycleNanoseconds);
    }

    /**
     * Returns whether a peer is reachable.
     *
     * @param peer the peer
     * @param now the time in nanoseconds
     * @return {@code true} if it was heard recently
     */
    public boolean reachable(PeerState peer, long now) {
        return peer.receivedWithin(now, peerTimeoutNanoseconds());
    }

    /**
     * Returns the peers.
     *
     * @return the peers in the order of their names
     */
    public Collection<PeerState> peers() {
        return peers.values();
    }

    /**
     * A host that served callers without being listed.
     *
     * @param host the host
     * @param lastServedAt the time in nanoseconds
     */
    private record UnlistedHost(ListedHost host, long lastServedAt) {}
}
