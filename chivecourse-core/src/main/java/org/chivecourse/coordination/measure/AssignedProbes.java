package org.chivecourse.coordination.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivecourse.coordination.call.ServiceRegistry;
import org.chivecourse.coordination.call.ServiceState;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.fleet.FleetPeer;
import org.chivecourse.coordination.fleet.FleetPeers;
import org.chivecourse.coordination.fleet.RendezvousHash;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/**
 * The probes of a host whose gateways form a fleet. The gateways of a data centre divide its backend servers, and those
 * of data centres without live gateways, among themselves, and send their observations to all gateways.
 *
 * <p>A backend server is not probed while another observation of its load is fresh, nor more often than gateways
 * exchange observations.
 */
public final class AssignedProbes {

    /** The time between two updates of the assignments. */
    private static final long ASSIGNMENT_INTERVAL_NANOSECONDS = 400_000_000L;

    /**
     * The time after the first backend servers are known for which none is probed. A gateway that has just started does
     * not know the others yet, and would probe all of them.
     */
    private static final long STARTUP_REST_NANOSECONDS = 300_000_000L;

    /** The time after which a probe that has not ended no longer prevents another one. */
    private static final long PROBE_TIMEOUT_NANOSECONDS = 3_000_000_000L;

    /**
     * The time between two probes of a backend server with a request limit. Such probes may count against it.
     */
    private static final long LIMITED_INTERVAL_NANOSECONDS = 1_000_000_000L;

    /** The time between two rounds of probes that find out whether this host's links are lost. */
    private static final long LINK_PROBE_INTERVAL_NANOSECONDS = 100_000_000L;

    /** The number of probes of each service in such a round. */
    private static final int LINK_PROBES = 3;

    /** The settings of this host. */
    private final HostSettings settings;

    /** The services of the configuration in force. */
    private final ServiceRegistry services;

    /** The other gateways of the fleet. */
    private final FleetPeers peers;

    /** The backend servers that this gateway probes. */
    private List<Assignment> assignments = List.of();

    /** The time of the last update of the assignments, in nanoseconds. */
    private long assignedAt = Long.MIN_VALUE / 2;

    /** The time at which backend servers were first known, in nanoseconds, zero before. */
    private long serversKnownAt;

    /** The times at which the latest probes started, in nanoseconds, by identity of the backend server. */
    private final Map<String, Long> startTimes = new HashMap<>();

    /** The time of the last round of probes that find out whether this host's links are lost, in nanoseconds. */
    private long linksProbedAt = Long.MIN_VALUE / 2;

    /** The position of the next backend server to probe in such a round, modulo the number of backend servers. */
    private int nextLinkProbe;

    /** The identities of the backend servers with a probe in progress. */
    private final Set<String> openProbes = new HashSet<>();

    /** Creates probes without assignments. */
    public AssignedProbes(HostSettings settings, ServiceRegistry services, FleetPeers peers) {
        this.settings = settings;
        this.services = services;
        this.peers = peers;
    }

    /**
     * Starts the probes that are due, after updating the assignments if that is due. Does nothing if the settings
     * disable probes.
     */
    public void startDueProbes(long now, DecisionSink sink) {
        if (settings.fleet().probeIntervalNanoseconds() == 0 || resting(now)) {
            return;
        }
        if (now - assignedAt >= ASSIGNMENT_INTERVAL_NANOSECONDS) {
            assignedAt = now;
            assign(now);
        }
        for (Assignment assignment : assignments) {
            ServerState server = assignment.server();
            long interval = intervalNanoseconds(server, now);
            boolean fresh = server.hasReport() && now - server.reportedAt() < interval;
            if (!fresh && takesProbes(server, now) && mayStart(server.identity(), interval, now)) {
                start(assignment, now, sink);
            }
        }
        probeDoubtfulLinks(now, sink);
    }

    /** Returns whether this gateway has learned of the first backend servers only a short time ago. */
    private boolean resting(long now) {
        if (serversKnownAt == 0 && !services.all().isEmpty()) {
            serversKnownAt = now;
        }
        return now - serversKnownAt < STARTUP_REST_NANOSECONDS;
    }

    /** Starts a probe. */
    private void start(Assignment assignment, long now, DecisionSink sink) {
        String identity = assignment.server().identity();
        startTimes.put(identity, now);
        openProbes.add(identity);
        sink.decide(new Decision.Probe(identity, assignment.path()));
    }

    /**
     * Starts probes of the backend servers of each service of which some have failed and none has answered since, one
     * after the other. They find out whether this host's links are lost, and when they are back.
     */
    private void probeDoubtfulLinks(long now, DecisionSink sink) {
        if (now - linksProbedAt < LINK_PROBE_INTERVAL_NANOSECONDS) {
            return;
        }
        linksProbedAt = now;
        for (ServiceState service : services.all()) {
            if (!service.links().doubtful()) {
                continue;
            }
            List<ServerState> servers = service.servers();
            for (int count = 0; count < Math.min(LINK_PROBES, servers.size()); count++) {
                ServerState server = servers.get(Math.floorMod(nextLinkProbe++, servers.size()));
                String path = service.service().discovery().healthPath();
                boolean possible = takesProbes(server, now) && server.server().announced();
                if (possible && mayStart(server.identity(), intervalNanoseconds(server, now), now)) {
                    start(new Assignment(server, path), now, sink);
                }
            }
        }
    }

    /** Returns whether a backend server is probed. One that rests is spared, unless it has stopped answering. */
    private static boolean takesProbes(ServerState server, long now) {
        boolean spared = server.rest().active(now) && !server.condition().isSilent();
        return server.leavingCause() == LeavingCause.NONE && !spared;
    }

    /** Returns the time between two probes of a backend server. One that stopped answering is probed at full rate. */
    private long intervalNanoseconds(ServerState server, long now) {
        long interval = Math.max(settings.fleet().probeIntervalNanoseconds(), peers.localDigestIntervalNanoseconds());
        boolean spared = server.allowance().limited(now) && !server.condition().isSilent();
        return spared ? Math.max(interval, LIMITED_INTERVAL_NANOSECONDS) : interval;
    }

    /**
     * Returns whether the interval since the start of the latest probe of a backend server has passed, and that probe
     * has ended or timed out.
     */
    private boolean mayStart(String identity, long interval, long now) {
        Long started = startTimes.get(identity);
        if (started == null) {
            return true;
        }
        return now - started >= (openProbes.contains(identity) ? PROBE_TIMEOUT_NANOSECONDS : interval);
    }

    /** Records that the probe of a backend server ended. */
    public void recordEnd(String identity) {
        openProbes.remove(identity);
    }

    /**
     * Assigns to this gateway the backend servers for which it ranks first among the live gateways of its data centre.
     * Those that take no calls of others have lost their links, and do not count.
     * The ranking differs from one backend server to the next, so that the gateways share the work without agreement.
     * Backend servers of data centres without live gateways are divided among the bridges, since other gateways get no
     * digests from elsewhere.
     */
    private void assign(long now) {
        List<String> others = new ArrayList<>();
        List<String> otherBridges = new ArrayList<>();
        Set<String> dataCentres = new HashSet<>();
        dataCentres.add(settings.dataCentre());
        for (FleetPeer peer : peers.live(now)) {
            if (settings.fleet().forwards()
                    && peer.latestDigest().forwardingAddress().isEmpty()) {
                continue;
            }
            dataCentres.add(peer.member().dataCentre());
            if (peer.member().dataCentre().equals(settings.dataCentre())) {
                others.add(peer.member().name());
                if (peers.isBridge(peer, now)) {
                    otherBridges.add(peer.member().name());
                }
            }
        }
        boolean bridge = peers.isBridge(now);
        List<Assignment> own = new ArrayList<>();
        for (ServiceState service : services.all()) {
            String path = service.service().discovery().healthPath();
            for (ServerState server : service.servers()) {
                boolean abandoned =
                        bridge && !dataCentres.contains(server.server().dataCentre());
                boolean first = server.local()
                        ? ranksFirst(server.identity(), others)
                        : abandoned && ranksFirst(server.identity(), otherBridges);
                if (first && server.server().announced()) {
                    own.add(new Assignment(server, path));
                }
            }
        }
        assignments = own;
        startTimes.keySet().removeIf(identity -> services.server(identity) == null);
        openProbes.retainAll(startTimes.keySet());
    }

    /**
     * Returns whether this gateway ranks first for a backend server.
     *
     * @param others the names of the other live gateways of the data centre
     */
    private boolean ranksFirst(String identity, List<String> others) {
        return others.stream().noneMatch(other -> RendezvousHash.ranksAbove(other, settings.name(), identity));
    }

    /**
     * A backend server that this gateway probes.
     *
     * @param server the backend server
     * @param path the path of its health endpoint
     */
    private record Assignment(ServerState server, String path) {}
}
