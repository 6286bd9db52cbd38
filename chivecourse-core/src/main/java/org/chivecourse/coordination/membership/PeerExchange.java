package org.chivecourse.coordination.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivecourse.coordination.call.ServiceRegister;
import org.chivecourse.coordination.call.ServiceState;
import org.chivecourse.coordination.configuration.ConfigurationRegister;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.coordination.poison.PoisonRegister;
import org.chivecourse.state.peer.PeerDigest;
import org.chivecourse.state.peer.PeerState;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/** Tells other gateways what this one knows, and takes over what they know. */
public final class PeerExchange {

    /** The largest number of leaving backend servers in a digest. */
    private static final int LARGEST_LEAVING = 20;

    /** The largest number of convictions in a digest. */
    private static final int LARGEST_CONVICTIONS = 8;

    /** The time for which a peer's word that a backend server leaves holds, in nanoseconds. */
    private static final long LEAVING_NANOSECONDS = 15_000_000_000L;

    /** The time for which a pull of a configuration may take, in nanoseconds. */
    private static final long PULL_NANOSECONDS = 1_000_000_000L;

    /** The number of nanoseconds in a second. */
    private static final long SECOND = 1_000_000_000L;

    /** What the core knows of its host. */
    private final HostSettings settings;

    /** The other gateways. */
    private final Membership membership;

    /** The configuration in force. */
    private final ConfigurationRegister configurations;

    /** The services of the configuration in force. */
    private final ServiceRegister services;

    /** The requests that crash backend servers. */
    private final PoisonRegister poison;

    /** The times until which peers' words that backend servers leave hold, by address. */
    private final Map<String, Long> leavingUntil = new HashMap<>();

    /** The number of digests so far. */
    private long sequence;

    /** The place in the list of leaving backend servers from which the next digest goes on. */
    private int leavingTurn;

    /** The time of the last pull in nanoseconds. */
    private long pulledAt = Long.MIN_VALUE / 2;

    /** Whether this gateway watches the configuration service without pause. */
    private boolean watching = true;

    /** Whether this gateway is stopping. */
    private boolean stopping;

    /**
     * Creates an exchange.
     *
     * @param settings what the core knows of its host
     * @param membership the other gateways
     * @param configurations the configuration in force
     * @param services the services of the configuration in force
     * @param poison the requests that crash backend servers
     */
    public PeerExchange(
            HostSettings settings,
            Membership membership,
            ConfigurationRegister configurations,
            ServiceRegister services,
            PoisonRegister poison) {
        this.settings = settings;
        this.membership = membership;
        this.configurations = configurations;
        this.services = services;
        this.poison = poison;
    }

    /**
     * Tells peers from now on that this gateway is stopping.
     */
    public void stopping() {
        stopping = true;
    }

    /**
     * Sends digests that are due and lets words of peers expire.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void timePassed(long now, DecisionSink sink) {
        if (!settings.exchangesDigests()) {
            return;
        }
        List<PeerState> due = membership.due(now);
        if (due.isEmpty()) {
            return;
        }
        PeerDigest digest = digest(!membership.joined(now), now);
        due.forEach(peer -> sink.decide(new Decision.SendDigest(peer.host().address(), digest)));
        expire(now, sink);
        boolean watches = WatcherRule.INSTANCE.watches(settings, membership, now);
        if (watches != watching) {
            watching = watches;
            sink.decide(new Decision.Watch(watches));
        }
    }

    /**
     * Takes a digest over.
     *
     * @param digest the digest
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void heard(PeerDigest digest, long now, DecisionSink sink) {
        PeerState peer = membership.hear(digest, now);
        if (peer == null) {
            return;
        }
        if (digest.replyRequested()) {
            sink.decide(new Decision.SendDigest(peer.host().address(), digest(false, now)));
        }
        pullIfHigher(peer, now, sink);
        for (String address : digest.leavingServers()) {
            leavingUntil.put(address, now + LEAVING_NANOSECONDS);
            services.leave(address, LeavingCause.PEER, configurations.revision(), sink);
        }
        digest.blockedRequests()
                .forEach((fingerprint, seconds) -> poison.convict(fingerprint, now + seconds * SECOND, now));
    }

    /**
     * Pulls a peer's configuration if it goes before the one in force and no pull is under way.
     *
     * @param peer the peer
     * @param now the time in nanoseconds
     * @param sink receives the decision
     */
    private void pullIfHigher(PeerState peer, long now, DecisionSink sink) {
        PeerDigest announced = peer.latestDigest();
        boolean higher = announced.announcesNewerThan(configurations.revision(), configurations.digest());
        if (!higher || now - pulledAt < PULL_NANOSECONDS) {
            return;
        }
        pulledAt = now;
        sink.decide(new Decision.PullConfiguration(
                peer.host().name(), peer.host().address(), announced.configurationDigest()));
    }

    /**
     * Notes that the pull under way ended.
     */
    public void pullEnded() {
        pulledAt = Long.MIN_VALUE / 2;
    }

    /**
     * Returns what this gateway tells of itself.
     *
     * @param asks whether to ask for digests in return
     * @param now the time in nanoseconds
     * @return the digest
     */
    private PeerDigest digest(boolean asks, long now) {
        Map<Long, Integer> convictions = new HashMap<>();
        poison.convictions(now).forEach((fingerprint, remaining) -> {
            if (convictions.size() < LARGEST_CONVICTIONS) {
                convictions.put(fingerprint, (int) (remaining / SECOND));
            }
        });
        return new PeerDigest(
                settings.name(),
                settings.incarnation(),
                ++sequence,
                configurations.revision(),
                configurations.digest(),
                stopping,
                asks,
                ownLeaving(),
                convictions);
    }

    /**
     * Returns backend servers that this gateway found to be leaving itself, in turn if there are many.
     *
     * @return the addresses
     */
    private List<String> ownLeaving() {
        List<String> all = new ArrayList<>();
        for (ServiceState service : services.all()) {
            for (ServerState server : service.servers()) {
                if (server.leavingCause().observedDirectly()) {
                    all.add(server.address());
                }
            }
        }
        if (all.size() <= LARGEST_LEAVING) {
            return all;
        }
        List<String> some = new ArrayList<>();
        for (int count = 0; count < LARGEST_LEAVING; count++) {
            some.add(all.get(Math.floorMod(leavingTurn++, all.size())));
        }
        return some;
    }

    /**
     * Takes back backend servers of which no peer says any more that they leave.
     *
     * @param now the time in nanoseconds
     * @param sink receives the changes
     */
    private void expire(long now, DecisionSink sink) {
        leavingUntil.entrySet().removeIf(entry -> {
            boolean expired = now - entry.getValue() >= 0;
            ServerState server = services.server(entry.getKey());
            if (expired && server != null && server.leavingCause() == LeavingCause.PEER) {
                services.stay(entry.getKey(), configurations.revision(), sink);
            }
            return expired;
        });
    }
}
