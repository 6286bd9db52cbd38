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
 * The other gateways, as listed by the platform and confirmed by their digests.
 *
 * <p>The platform's host list names the hosts that may exist, and digests show which of them are reachable. In each
 * round a host sends its digest to a fixed number of peers, chosen at random such that each peer receives one before
 * any receives a second. The bytes that a host sends per second therefore do not depend on the size of the fleet, while
 * the time to detect a failure grows with it.
 */
public final class Membership {

    /** The interval between two rounds of digests, in nanoseconds. */
    public static final long ROUND_INTERVAL_NANOSECONDS = 200_000_000L;

    /** The number of peers that a digest is sent to in each round. */
    public static final int FAN_OUT = 2;

    /**
     * The number of cycles without a digest after which a peer is unreachable. In one cycle a host sends its digest to
     * each of its peers.
     */
    private static final int MAXIMUM_MISSED_CYCLES = 4;

    /** The shortest time without a digest after which a peer is unreachable, in nanoseconds. */
    private static final long MINIMUM_PEER_TIMEOUT_NANOSECONDS = 3_000_000_000L;

    /**
     * The longest time for which a new gateway waits for the first digests of its peers before it serves, in
     * nanoseconds.
     */
    private static final long JOIN_TIMEOUT_NANOSECONDS = 2_000_000_000L;

    /**
     * The longest time for which a new gateway does not serve because a peer announces a newer configuration, in
     * nanoseconds.
     */
    private static final long CATCH_UP_TIMEOUT_NANOSECONDS = 5_000_000_000L;

    /** The settings of this host. */
    private final HostSettings settings;

    /** The source of the order in which peers receive digests. */
    private final RandomGenerator random;

    /** The listed hosts other than this one, by name. */
    private final Map<String, PeerState> peers = new TreeMap<>();

    /** Hosts that served callers although the host list does not name them, or no longer does, by name. */
    private final Map<String, UnlistedHost> unlistedHosts = new TreeMap<>();

    /** The peers that have not received a digest in the current cycle, in random order. */
    private final List<PeerState> sendQueue = new ArrayList<>();

    /** The time of the last round, in nanoseconds. */
    private long lastRoundAt;

    /** The time of the first event, in nanoseconds. */
    private long startedAt;

    /** Whether an event has occurred. */
    private boolean started;

    /** Whether the host list has been read at least once. */
    private boolean hostListKnown;

    /**
     * Creates a membership without peers.
     *
     * @param settings the settings of this host
     * @param random the source of the order in which peers receive digests
     */
    public Membership(HostSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    /**
     * Replaces the host list. Hosts that it no longer names are removed from the peers, but still count as possibly
     * serving for the lifetime of keys.
     *
     * @param hosts the listed hosts, including this one
     * @param now the current time in nanoseconds
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
     * Records that a host serves callers, or did so until now, whether or not the host list names it.
     *
     * @param name the name of the host
     * @param address the address at which its gateway receives messages from other gateways
     * @param now the current time in nanoseconds
     */
    public void recordServing(String name, String address, long now) {
        unlistedHosts.put(name, new UnlistedHost(new ListedHost(name, address, "", false), now));
    }

    /** Returns whether the host list has been read at least once. */
    public boolean hostListKnown() {
        return hostListKnown;
    }

    /**
     * Returns the other hosts that may have served callers within the lifetime of keys, as far as this one knows.
     *
     * @param now the current time in nanoseconds
     * @return the listed hosts, followed by unlisted ones that were recorded within the lifetime of keys
     */
    public List<ListedHost> possiblyServingHosts(long now) {
        List<ListedHost> hosts = new ArrayList<>();
        peers.values().forEach(peer -> hosts.add(peer.host()));
        unlistedHosts
                .values()
                .removeIf(unlisted ->
                        now - unlisted.lastServedAt() >= settings.keys().lifetimeNanoseconds());
        unlistedHosts.forEach((name, unlisted) -> {
            if (!peers.containsKey(name) && !name.equals(settings.name())) {
                hosts.add(unlisted.host());
            }
        });
        return hosts;
    }

    /**
     * Accepts a digest.
     *
     * @param digest the digest
     * @param now the current time in nanoseconds
     * @return the sender, or {@code null} if the digest is outdated or its sender is not listed
     */
    public PeerState acceptDigest(PeerDigest digest, long now) {
        PeerState peer = peers.get(digest.name());
        return peer != null && peer.recordDigest(digest, now) ? peer : null;
    }

    /**
     * Returns the peers that a digest is due for, and starts a new round if there are any. Before this gateway has
     * joined, these are all peers that have not sent a digest yet; afterwards {@link #FAN_OUT} peers in turn.
     *
     * @param now the current time in nanoseconds
     * @return the peers, none between two rounds
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

    /** Returns the peers that have not sent a digest yet. */
    private List<PeerState> peersWithoutDigest() {
        return peers.values().stream()
                .filter(peer -> peer.latestDigest() == null)
                .toList();
    }

    /**
     * Returns the next peer of the current cycle and removes it from the queue. An empty queue is refilled with all
     * peers in random order.
     */
    private PeerState nextPeer() {
        if (sendQueue.isEmpty()) {
            sendQueue.addAll(peers.values());
            Collections.shuffle(sendQueue, new Random(random.nextLong()));
        }
        return sendQueue.remove(sendQueue.size() - 1);
    }

    /**
     * Returns whether the gateway has received a digest of every peer, or has waited for {@link
     * #JOIN_TIMEOUT_NANOSECONDS}.
     *
     * @param now the current time in nanoseconds
     * @return {@code true} if the gateway may serve as far as its peers are concerned; always if it exchanges no
     *     digests
     */
    public boolean joined(long now) {
        if (!settings.exchangesDigests()) {
            return true;
        }
        boolean receivedAll = hostListKnown && peersWithoutDigest().isEmpty();
        return receivedAll || started && now - startedAt >= JOIN_TIMEOUT_NANOSECONDS;
    }

    /**
     * Returns whether a recently started gateway still waits for a newer configuration that a peer announces.
     *
     * @param revision the revision of its own configuration
     * @param digest the digest of its own configuration
     * @param now the current time in nanoseconds
     * @return {@code true} if the gateway should not serve yet for that reason
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
     * Returns the time without a digest after which a peer is unreachable.
     *
     * @return the time in nanoseconds, which grows with the number of peers, since each one sends digests less often
     */
    public long peerTimeoutNanoseconds() {
        long cycleNanoseconds = (peers.size() / FAN_OUT + 1) * ROUND_INTERVAL_NANOSECONDS;
        return Math.max(MINIMUM_PEER_TIMEOUT_NANOSECONDS, MAXIMUM_MISSED_CYCLES * cycleNanoseconds);
    }

    /**
     * Returns whether a digest of a peer arrived within the peer timeout.
     *
     * @param peer the peer
     * @param now the current time in nanoseconds
     * @return {@code true} if the peer is reachable
     */
    public boolean reachable(PeerState peer, long now) {
        return peer.receivedWithin(now, peerTimeoutNanoseconds());
    }

    /**
     * Returns the listed hosts other than this one.
     *
     * @return the peers in the order of their names
     */
    public Collection<PeerState> peers() {
        return peers.values();
    }

    /**
     * A host that served callers without being listed.
     *
     * @param host the host, with an empty data centre
     * @param lastServedAt the last time at which it is known to have served, in nanoseconds
     */
    private record UnlistedHost(ListedHost host, long lastServedAt) {}
}
