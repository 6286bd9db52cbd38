package org.chivecourse.coordination.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivecourse.coordination.call.ServiceRegister;
import org.chivecourse.coordination.call.ServiceState;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.fleet.FleetPeer;
import org.chivecourse.coordination.fleet.FleetPeers;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/**
 * The probes of a fleet that finds itself: the gateways of a data centre divide its backend servers, and those of data
 * centres without live gateways, among themselves, and tell all gateways what they see.
 *
 * <p>A backend server is not probed while other sightings of it are fresh, nor more often than word of it spreads.
 */
public final class AssignedProbes {

    /** The time between two divisions, in nanoseconds. */
    private static final long ASSIGNMENT_INTERVAL_NANOSECONDS = 400_000_000L;

    /** The time after which a probe that has not ended is forgotten, in nanoseconds. */
    private static final long PROBE_TIMEOUT_NANOSECONDS = 3_000_000_000L;

    /** What the core knows of its host. */
    private final HostSettings settings;

    /** The services of the configuration in force. */
    private final ServiceRegister services;

    /** The other gateways. */
    private final FleetPeers peers;

    /** The backend servers that this gateway probes. */
    private List<Assignment> assignments = List.of();

    /** The time of the last division, in nanoseconds. */
    private long assignedAt = Long.MIN_VALUE / 2;

    /** The times at which the probes under way were started, by identity, in nanoseconds. */
    private final Map<String, Long> openProbes = new HashMap<>();

    /**
     * Creates probes.
     *
     * @param settings what the core knows of its host
     * @param services the services of the configuration in force
     * @param peers the other gateways
     */
    public AssignedProbes(HostSettings settings, ServiceRegister services, FleetPeers peers) {
        this.settings = settings;
        this.services = services;
        this.peers = peers;
    }

    /**
     * Starts the probes that are due.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void startDueProbes(long now, DecisionSink sink) {
        if (settings.fleet().probeIntervalNanoseconds() == 0) {
            return;
        }
        if (now - assignedAt >= ASSIGNMENT_INTERVAL_NANOSECONDS) {
            assignedAt = now;
            assign(now);
        }
        long interval = Math.max(settings.fleet().probeIntervalNanoseconds(), peers.localDigestIntervalNanoseconds());
        for (Assignment assignment : assignments) {
            ServerState server = assignment.server();
            boolean fresh = server.hasReport() && now - server.reportedAt() < interval;
            if (!fresh && server.leavingCause() == LeavingCause.NONE && mayStart(server.identity(), now)) {
                openProbes.put(server.identity(), now);
                sink.decide(new Decision.Probe(server.identity(), assignment.path()));
            }
        }
    }

    /**
     * Returns whether a probe of a backend server may start.
     *
     * @param identity the identity of the backend server
     * @param now the time in nanoseconds
     * @return {@code true} if none is under way
     */
    private boolean mayStart(String identity, long now) {
        Long started = openProbes.get(identity);
        return started == null || now - started >= PROBE_TIMEOUT_NANOSECONDS;
    }

    /**
     * Notes the end of a probe.
     *
     * @param identity the identity of the backend server
     */
    public void recordEnd(String identity) {
        openProbes.remove(identity);
    }

    /**
     * Finds the backend servers that this gateway probes: those for which it comes first among the live gateways of its
     * data centre in an order that differs from one backend server to the next.
     *
     * @param now the time in nanoseconds
     */
    private void assign(long now) {
        List<String> others = new ArrayList<>();
        Set<String> dataCentres = new HashSet<>();
        dataCentres.add(settings.dataCentre());
        for (FleetPeer peer : peers.live(now)) {
            dataCentres.add(peer.member().dataCentre());
            if (peer.member().dataCentre().equals(settings.dataCentre())) {
                others.add(peer.member().name());
            }
        }
        List<Assignment> own = new ArrayList<>();
        for (ServiceState service : services.all()) {
            String path = service.service().discovery().healthPath();
            for (ServerState server : service.servers()) {
                boolean local =
                        server.local() || !dataCentres.contains(server.server().dataCentre());
                if (local && server.server().announced() && ranksFirst(server.identity(), others)) {
                    own.add(new Assignment(server, path));
                }
            }
        }
        assignments = own;
        openProbes.keySet().removeIf(identity -> services.server(identity) == null);
    }

    /**
     * Returns whether this gateway comes first for a backend server.
     *
     * @param identity the identity of the backend server
     * @param others the names of the other gateways
     * @return {@code true} if it does
     */
    private boolean ranksFirst(String identity, List<String> others) {
        int own = rank(settings.name(), identity);
        for (String other : others) {
            int rank = rank(other, identity);
            if (rank > own || rank == own && other.compareTo(settings.name()) > 0) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the place of a gateway in the order for a backend server.
     *
     * @param name the name of the gateway's host
     * @param identity the identity of the backend server
     * @return the rank
     */
    private static int rank(String name, String identity) {
        int hash = (name.hashCode() * 31 + identity.hashCode()) * 0x9e3779b1;
        hash ^= hash >>> 15;
        return hash * 0x85ebca6b;
    }

    /**
     * A backend server that this gateway probes.
     *
     * @param server the backend server
     * @param path the path of its health endpoint
     */
    private record Assignment(ServerState server, String path) {}
}
