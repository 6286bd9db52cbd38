package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.chivecourse.coordination.call.ServiceRegistry;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.fleet.LimitReport;
import org.chivecourse.state.server.RequestAllowance;
import org.chivecourse.state.server.ServerState;

/**
 * Exchanges what gateways know of the request limits of backend servers, and decides which gateways send to a backend
 * server with a limit.
 *
 * <p>These are gateways of the backend server's own data centre, which report each request to each other within a
 * digest interval. There are few of them, since each may take the same token before it learns that another has taken
 * it; the lower the limit, the fewer. If that data centre has no live gateway, those of another one take over.
 */
final class RequestLimitExchange {

    /** The maximum number of reports in a digest. */
    private static final int MAXIMUM_REPORTS = 6;

    /**
     * The number of requests beyond its limit that a backend server may get at once while gateways take the same
     * token, in addition to those of a second.
     */
    private static final double EXTRA_REQUESTS = 3;

    /** The time beyond a digest interval until a request is known to the other gateways, in seconds. */
    private static final double REPORTING_DELAY_SECONDS = 0.06;

    /** The number of nanoseconds in a second. */
    private static final double NANOSECONDS_PER_SECOND = 1_000_000_000.0;

    /** The other gateways of the fleet. */
    private final FleetPeers peers;

    /** The services of the configuration in force. */
    private final ServiceRegistry services;

    /** The position in the list of limits from which the next digest reports them, modulo the size of the list. */
    private int nextReportIndex;

    /**
     * Creates an exchange.
     *
     * @param peers the other gateways of the fleet
     * @param services the services of the configuration in force
     */
    RequestLimitExchange(FleetPeers peers, ServiceRegistry services) {
        this.peers = peers;
        this.services = services;
    }

    /**
     * Decides for each backend server with a limit whether this gateway may send to it.
     *
     * @param now the current time in nanoseconds
     */
    void assignSenders(long now) {
        for (ServerState server : services.limits().limitedServers(now)) {
            server.allowance().assignSenders(senderCount(server, now));
        }
    }

    /**
     * Returns the number of gateways that may send to a backend server.
     *
     * @param server the backend server
     * @param now the current time in nanoseconds
     * @return the number, this gateway included, zero if it is not among them
     */
    private int senderCount(ServerState server, long now) {
        if (!isResponsible(server, now)) {
            return 0;
        }
        int maximum = maximumSenders(server.allowance());
        int above = 0;
        int live = 1;
        for (FleetPeer peer : peers.live(now)) {
            if (peers.isLocal(peer)) {
                live++;
                String name = peer.member().name();
                boolean ranksAbove =
                        RendezvousHash.ranksAbove(name, peers.self().name(), server.identity());
                above += ranksAbove ? 1 : 0;
            }
        }
        return above < maximum ? Math.min(live, maximum) : 0;
    }

    /**
     * Returns whether the gateways of this data centre send to a backend server: one of the same data centre, or of a
     * data centre without live gateways for which this one ranks first. Only bridges know which data centres those
     * are.
     *
     * @param server the backend server
     * @param now the current time in nanoseconds
     * @return {@code true} if they do
     */
    private boolean isResponsible(ServerState server, long now) {
        String own = peers.self().dataCentre();
        String home = server.server().dataCentre();
        if (home.equals(own)) {
            return true;
        }
        if (!peers.bridges().isBridge(peers, now)) {
            return false;
        }
        Set<String> others = new TreeSet<>();
        peers.live(now).forEach(peer -> others.add(peer.member().dataCentre()));
        return !others.contains(home)
                && others.stream().noneMatch(other -> RendezvousHash.ranksAbove(other, own, server.identity()));
    }

    /**
     * Returns the maximum number of gateways that may send to a backend server, such that its limit is kept although
     * each sends for a while before it learns of the requests of the others.
     *
     * @param allowance the limit of the backend server
     * @return the number, at least one
     */
    private int maximumSenders(RequestAllowance allowance) {
        double limit = allowance.limit().requestsPerSecond();
        double delaySeconds = peers.localDigestIntervalNanoseconds() / NANOSECONDS_PER_SECOND + REPORTING_DELAY_SECONDS;
        return (int) Math.max(1, (limit + EXTRA_REQUESTS) / (1 + limit * delaySeconds));
    }

    /**
     * Returns whether there are reports that the gateways of this data centre have not received.
     *
     * @param now the current time in nanoseconds
     * @return {@code true} if there is at least one
     */
    boolean hasChanged(long now) {
        return services.limits().limitedServers(now).stream()
                .anyMatch(server -> server.allowance().unreported());
    }

    /**
     * Returns the reports that the gateways of this data centre have not received, which counts as reporting them.
     *
     * @param now the current time in nanoseconds
     * @return at most {@link #MAXIMUM_REPORTS}; the others follow in the next digest
     */
    List<LimitReport> pollChanged(long now) {
        List<LimitReport> reports = new ArrayList<>();
        for (ServerState server : services.limits().limitedServers(now)) {
            if (reports.size() < MAXIMUM_REPORTS && server.allowance().pollUnreported()) {
                reports.add(report(server));
            }
        }
        return reports;
    }

    /**
     * Returns reports of all limits in rotation, so that consecutive digests contain all of them.
     *
     * @param now the current time in nanoseconds
     * @return at most {@link #MAXIMUM_REPORTS}
     */
    List<LimitReport> next(long now) {
        List<ServerState> limited = List.copyOf(services.limits().limitedServers(now));
        List<LimitReport> reports = new ArrayList<>();
        for (int count = 0; count < Math.min(MAXIMUM_REPORTS, limited.size()); count++) {
            reports.add(report(limited.get(Math.floorMod(nextReportIndex++, limited.size()))));
        }
        return reports;
    }

    /**
     * Returns the report of a limit.
     *
     * @param server the backend server
     * @return the report
     */
    private static LimitReport report(ServerState server) {
        RequestAllowance allowance = server.allowance();
        return new LimitReport(
                server.identity(),
                server.incarnation(),
                allowance.limit(),
                allowance.statedAt(),
                allowance.dispatched());
    }

    /**
     * Applies the limits and requests that another gateway reports.
     *
     * @param digest the digest of the other gateway
     * @param now the current time in nanoseconds
     * @param sink receives audit records
     */
    void apply(FleetDigest digest, long now, DecisionSink sink) {
        for (LimitReport report : digest.limitReports()) {
            services.limits().apply(report, digest.sender().name(), digest.incarnation(), now, sink);
        }
    }
}
