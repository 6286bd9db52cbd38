package org.chivecourse.coordination.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivecourse.coordination.call.ServiceRegistry;
import org.chivecourse.coordination.call.ServiceState;
import org.chivecourse.coordination.configuration.ConfigurationRegistry;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.coordination.poison.PoisonRequests;
import org.chivecourse.state.peer.PeerDigest;
import org.chivecourse.state.peer.PeerState;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/**
 * Exchanges digests with the other gateways of the host list, and applies what they report: newer configurations,
 * leaving backend servers and blocked requests.
 */
public final class PeerExchange {

    /** The maximum number of leaving backend servers in a digest. */
    private static final int MAXIMUM_LEAVING_SERVERS = 20;

    /** The maximum number of blocked requests in a digest. */
    private static final int MAXIMUM_BLOCKED_REQUESTS = 8;

    /** The time for which a peer's report that a backend server is leaving is valid, in nanoseconds. */
    private static final long LEAVING_REPORT_LIFETIME_NANOSECONDS = 15_000_000_000L;

    /** The time after which a pull of a configuration no longer prevents another one, in nanoseconds. */
    private static final long PULL_TIMEOUT_NANOSECONDS = 1_000_000_000L;

    /** The number of nanoseconds in a second. */
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

    /** The settings of this host. */
    private final HostSettings settings;

    /** The other gateways. */
    private final Membership membership;

    /** The configuration in force. */
    private final ConfigurationRegistry configurations;

    /** The services of the configuration in force. */
    private final ServiceRegistry services;

    /** The requests that are suspected or blocked because backend servers crashed on them. */
    private final PoisonRequests poisonRequests;

    /**
     * The times in nanoseconds at which peers' reports of leaving backend servers expire, by address of the backend
     * server.
     */
    private final Map<String, Long> leavingReportExpiries = new HashMap<>();

    /** The sequence number of the last digest, zero before the first one of this incarnation. */
    private long sequence;

    /**
     * The position in the list of leaving backend servers from which the next digest continues, modulo the size of the
     * list.
     */
    private int nextLeavingIndex;

    /**
     * The time at which the pull in flight started, in nanoseconds, or a time in the distant past if none is in flight.
     */
    private long pullStartedAt = Long.MIN_VALUE / 2;

    /** The last decision on whether this gateway watches the configuration service continuously. */
    private boolean watching = true;

    /** Whether digests report that this gateway is stopping. */
    private boolean stopping;

    /**
     * Creates an exchange.
     *
     * @param settings the settings of this host
     * @param membership the other gateways
     * @param configurations the configuration in force
     * @param services the services of the configuration in force
     * @param poisonRequests the requests that are suspected or blocked because backend servers crashed on them
     */
    public PeerExchange(
            HostSettings settings,
            Membership membership,
            ConfigurationRegistry configurations,
            ServiceRegistry services,
            PoisonRequests poisonRequests) {
        this.settings = settings;
        this.membership = membership;
        this.configurations = configurations;
        this.services = services;
        this.poisonRequests = poisonRequests;
    }

    /** Reports in all further digests that this gateway is stopping. */
    public void markStopping() {
        stopping = true;
    }

    /**
     * Sends the digests of a round that is due. In each such round, expired reports of leaving backend servers are
     * removed as well, and this gateway starts or ends its continuous watch of the configuration service if the
     * election has changed.
     *
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
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
     * Applies a digest. One that is outdated or whose sender is not listed is ignored.
     *
     * @param digest the digest
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
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
     * Pulls a peer's configuration if it takes precedence over the one in force and no other pull is in flight.
     *
     * @param peer the peer
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
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

    /** Records that the pull in flight ended, so that another one may start. */
    public void finishPull() {
        pullStartedAt = Long.MIN_VALUE / 2;
    }

    /**
     * Composes a digest with the next sequence number.
     *
     * @param replyRequested whether the recipient is requested to send a digest in return
     * @param now the current time in nanoseconds
     * @return the digest
     */
    private PeerDigest composeDigest(boolean replyRequested, long now) {
        Map<Long, Integer> blocked = new HashMap<>();
        poisonRequests
                .blocksToShare(MAXIMUM_BLOCKED_REQUESTS, now)
                .forEach((fingerprint, remaining) ->
                        blocked.put(fingerprint, (int) (remaining / NANOSECONDS_PER_SECOND)));
        return new PeerDigest(
                settings.name(),
                settings.incarnation(),
                ++sequence,
                configurations.revision(),
                configurations.digest(),
                stopping,
                replyRequested,
                detectedLeavingServers(),
                blocked);
    }

    /**
     * Returns the backend servers that this gateway itself detected to be leaving. If there are more than fit into a
     * digest, consecutive digests report them in rotation.
     *
     * @return the addresses, at most {@link #MAXIMUM_LEAVING_SERVERS}
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
        List<String> selected = new ArrayList<>();
        for (int count = 0; count < MAXIMUM_LEAVING_SERVERS; count++) {
            selected.add(all.get(Math.floorMod(nextLeavingIndex++, all.size())));
        }
        return selected;
    }

    /**
     * Returns backend servers to service that were leaving only because of peers' reports, once the last of these has
     * expired.
     *
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
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
