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
import org.chivecourse.coordination.poison.PoisonRequests;
import org.chivecourse.state.peer.PeerDigest;
import org.chivecourse.state.peer.PeerState;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/** Tells other gateways what this one knows, and takes over what they know. */
public final class PeerExchange {

    /** The largest number of leaving backend servers in a digest. */
    private static final int MAXIMUM_LEAVING_SERVERS = 20;

    /** The largest number of convictions in a digest. */
    private static final int MAXIMUM_BLOCKED_REQUESTS = 8;

    /** The time for which a peer's word that a backend server leaves holds, in nanoseconds. */
    private static final long LEAVING_REPORT_LIFETIME_NANOSECONDS = 15_000_000_000L;

    /** The time for which a pull of a configuration may take, in nanoseconds. */
    private static final long PULL_TIMEOUT_NANOSECONDS = 1_000_000_000L;

    /** The number of nanoseconds in a second. */
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

    /** What the core knows of its host. */
    private final HostSettings settings;

    /** The other gateways. */
    private final Membership membership;

    /** The configuration in force. */
    private final ConfigurationRegister configurations;

    /** The services of the configuration in force. */
    private final ServiceRegister services;

    /** The requests that crash backend servers. */
    private final PoisonRequests poisonRequests;

    /** The times until which peers' words that backend servers leave hold, by address. */
    private final Map<String, Long> leavingReportExpiries = new HashMap<>();

    /** The number of digests so far. */
    private long sequence;

    /** The place in the list of leaving backend servers from which the next digest goes on. */
    private int nextLeavingIndex;

    /** The time of the last pull in nanoseconds. */
    private long pullStartedAt = Long.MIN_VALUE / 2;

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
     * @param poisonRequests the requests that crash backend servers
     */
    public PeerExchange(
            HostSettings settings,
            Membership membership,
            ConfigurationRegister configurations,
            ServiceRegister services,
            PoisonRequests poisonRequests) {
        this.settings = settings;
        this.membership = membership;
        this.configurations = configurations;
        this.services = services;
        this.poisonRequests = poisonRequests;
    }

    /**
     * Tells peers from now on that this gateway is stopping.
     */
    public void markStopping() {
        stopping = true;
    }

    /**
     * Sends digests that are due and lets words of peers expire.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void sendDueDigests(long now, DecisionSink sink) {
        if (!settings.exchangesDigests()) {
            return;
        }
        List<PeerState> due = membership.duePeers(now);
        if (due.isEmpty()) {
            return;
        }
        PeerDigest digest = composeDigest(!membership.joined(now), now);
        due.forEach(peer -> sink.decide(new Decision.SendDigest(peer.host().address(), digest)));
        expireLeavingReports(now, sink);
        boolean isWatcher = ConfigurationWatcherElection.INSTANCE.isWatcher(settings, membership, now);
        if (isWatcher != watching) {
            watching = isWatcher;
            sink.decide(new Decision.Watch(isWatcher));
        }
    }

    /**
     * Takes a digest over.
     *
     * @param digest the digest
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void receiveDigest(PeerDigest digest, long now, DecisionSink sink) {
        PeerState peer = membership.acceptDigest(digest, now);
        if (peer == null) {
            return;
        }
        if (digest.replyRequested()) {
            sink.decide(new Decision.SendDigest(peer.host().address(), composeDigest(false, now)));
        }
        pullIfNewer(peer, now, sink);
        for (String address : digest.leavingServers()) {
            leavingReportExpiries.put(address, now + LEAVING_REPORT_LIFETIME_NANOSECONDS);
            services.markLeaving(address, LeavingCause.PEER, configurations.revision(), sink);
        }
        digest.blockedRequests()
                .forEach((fingerprint, seconds) ->
                        poisonRequests.block(fingerprint, now + seconds * NANOSECONDS_PER_SECOND, now));
    }

    /**
     * Pulls a peer's configuration if it goes before the one in force and no pull is under way.
     *
     * @param peer the peer
     * @param now the time in nanoseconds
     * @param sink receives the decision
     */
    private void pullIfNewer(PeerState peer, long now, DecisionSink sink) {
        PeerDigest announced = peer.latestDigest();
        boolean newer = announced.announcesNewerThan(configurations.revision(), configurations.digest());
        if (!newer || now - pullStartedAt < PULL_TIMEOUT_NANOSECONDS) {
            return;
        }
        pullStartedAt = now;
        sink.decide(new Decision.PullConfiguration(
                peer.host().name(), peer.host().address(), announced.configurationDigest()));
    }

    /**
     * Notes that the pull under way ended.
     */
    public void finishPull() {
        pullStartedAt = Long.MIN_VALUE / 2;
    }

    /**
     * Returns what this gateway tells of itself.
     *
     * @param asks whether to ask for digests in return
     * @param now the time in nanoseconds
     * @return the digest
     */
    private PeerDigest composeDigest(boolean asks, long now) {
        Map<Long, Integer> blocked = new HashMap<>();
        poisonRequests.blockedRequests(now).forEach((fingerprint, remaining) -> {
            if (blocked.size() < MAXIMUM_BLOCKED_REQUESTS) {
                blocked.put(fingerprint, (int) (remaining / NANOSECONDS_PER_SECOND));
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
                detectedLeavingServers(),
                blocked);
    }

    /**
     * Returns backend servers that this gateway found to be leaving itself, in turn if there are many.
     *
     * @return the addresses
     */
    private List<String> detectedLeavingServers() {
        List<String> all = new ArrayList<>();
        for (ServiceState service : services.all()) {
            for (ServerState server : service.servers()) {
                if (server.leavingCause().observedDirectly()) {
                    all.add(server.address());
                }
            }
        }
        if (all.size() <= MAXIMUM_LEAVING_SERVERS) {
            return all;
        }
        List<String> some = new ArrayList<>();
        for (int count = 0; count < MAXIMUM_LEAVING_SERVERS; count++) {
            some.add(all.get(Math.floorMod(nextLeavingIndex++, all.size())));
        }
        return some;
    }

    /**
     * Takes back backend servers of which no peer says any more that they leave.
     *
     * @param now the time in nanoseconds
     * @param sink receives the changes
     */
    private void expireLeavingReports(long now, DecisionSink sink) {
        leavingReportExpiries.entrySet().removeIf(entry -> {
            boolean expired = now - entry.getValue() >= 0;
            ServerState server = services.server(entry.getKey());
            if (expired && server != null && server.leavingCause() == LeavingCause.PEER) {
                services.markInService(entry.getKey(), configurations.revision(), sink);
            }
            return expired;
        });
    }
}
