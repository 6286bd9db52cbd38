package org.chivecourse.coordination.fleet;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import org.chivecourse.coordination.call.ServiceRegistry;
import org.chivecourse.coordination.warmup.SenderElection;
import org.chivecourse.coordination.warmup.WarmUpRegistry;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.fleet.WarmUpReport;
import org.chivecourse.state.server.ServerState;

/**
 * Exchanges which backend servers are cold, and decides whether this gateway sends to them.
 *
 * <p>Only gateways of a backend server's own data centre do, or those of the one that ranks first if no gateway there
 * is known.
 */
final class WarmUpExchange {

    /** The maximum number of reports in a digest within a data centre. */
    private static final int MAXIMUM_LOCAL_REPORTS = 8;

    /** The maximum number of reports in a digest to another data centre. */
    private static final int MAXIMUM_REMOTE_REPORTS = 32;

    /** The time between two elections, in nanoseconds. */
    private static final long ELECTION_INTERVAL_NANOSECONDS = 50_000_000L;

    /** The number of digests after which a gateway has been running for so long that it knows the backend servers. */
    private static final long SETTLED_SEQUENCE = 40;

    /** The other gateways of the fleet. */
    private final FleetPeers peers;

    /** Which backend servers are cold. */
    private final WarmUpRegistry warmUps;

    /** Whether there may be other gateways. */
    private final BooleanSupplier hasSeeds;

    /** The data centres that have or had a gateway. */
    private final Set<String> dataCentres = new TreeSet<>();

    /** Elects the gateways of this data centre that send, {@code null} before the first event. */
    private SenderElection election;

    /** The time of the last election. */
    private long electedAt;

    /**
     * Creates an exchange.
     *
     * @param peers the other gateways of the fleet
     * @param services the services of the configuration in force
     * @param hasSeeds whether there may be other gateways
     */
    WarmUpExchange(FleetPeers peers, ServiceRegistry services, BooleanSupplier hasSeeds) {
        this.peers = peers;
        this.hasSeeds = hasSeeds;
        warmUps = services.warmUps();
    }

    /**
     * Decides for each cold backend server whether this gateway may send to it, if that is due.
     *
     * @param now the current time in nanoseconds
     */
    void assignSenders(long now) {
        if (election == null) {
            election = new SenderElection(peers.self().name(), now);
        } else if (now - electedAt < ELECTION_INTERVAL_NANOSECONDS) {
            return;
        }
        electedAt = now;
        recordGateways(now);
        warmUps.recordTouch(
                peers.live(now).stream().anyMatch(peer -> peer.latestDigest().sequence() >= SETTLED_SEQUENCE));
        boolean takesPart = election.takesPart(now);
        for (ServerState server : warmUps.cold()) {
            if (takesPart && isResponsible(server)) {
                assignSenders(server, now);
            } else {
                server.warmUp().assignSenders(0);
            }
        }
    }

    /** Decides for a cold backend server of this data centre whether this gateway may send to it. */
    private void assignSenders(ServerState server, long now) {
        double requestsPerSecond = server.warmUp().requestsPerSecond();
        if (hasSeeds.getAsBoolean() && election.knowsNobody(now)) {
            int senders = SenderElection.unknownSenders(requestsPerSecond);
            server.warmUp().assignUnknownSenders(senders, election.phase(server.identity()), now);
        } else {
            server.warmUp().assignSenders(election.senders(server.identity(), requestsPerSecond, now));
        }
    }

    /** Records which gateways there are. */
    private void recordGateways(long now) {
        for (FleetPeer peer : peers.all()) {
            String name = peer.member().name();
            dataCentres.add(peer.member().dataCentre());
            if (!peers.isLocal(peer)) {
                continue;
            }
            long at = now - peer.sinceLastReceived(now);
            if (peer.latestDigest() == null) {
                election.recordNamed(name, at);
            } else if (peer.latestDigest().stopping()) {
                election.recordStopping(name);
            } else {
                election.recordDigest(name, peer.latestDigest().dataCentreSize(), at);
            }
        }
        election.forgetSilent(now);
    }

    /** Returns whether gateways of this data centre send to a backend server while it is cold. */
    private boolean isResponsible(ServerState server) {
        String own = peers.self().dataCentre();
        String home = server.server().dataCentre();
        return home.equals(own)
                || !dataCentres.contains(home)
                        && dataCentres.stream()
                                .noneMatch(other -> RendezvousHash.ranksAbove(other, own, server.identity()));
    }

    /** Returns whether there are reports that the gateways of this data centre have not received. */
    boolean hasLocal() {
        return warmUps.hasLocal();
    }

    /** Returns whether there are reports that other data centres have not received. */
    boolean hasRemote() {
        return warmUps.hasRemote();
    }

    /** Discards the reports for other data centres, since another gateway sends them. */
    void discardRemote() {
        warmUps.discardRemote();
    }

    /** Returns reports for the gateways of this data centre, new ones first. */
    List<WarmUpReport> pollLocal(long now) {
        return warmUps.pollLocal(MAXIMUM_LOCAL_REPORTS, now);
    }

    /** Returns reports for a gateway that has just started. */
    List<WarmUpReport> repeat(long now) {
        return warmUps.repeat(MAXIMUM_REMOTE_REPORTS, now);
    }

    /** Returns reports for other data centres, new ones first. */
    List<WarmUpReport> pollRemote(long now) {
        return warmUps.pollRemote(MAXIMUM_REMOTE_REPORTS, now);
    }

    /**
     * Applies what another gateway reports.
     *
     * @param digest the digest of the other gateway
     * @param local whether it is in the same data centre
     */
    void apply(FleetDigest digest, boolean local) {
        for (WarmUpReport report : digest.warmUps()) {
            warmUps.apply(report, digest.sender().name(), local);
        }
    }
}
