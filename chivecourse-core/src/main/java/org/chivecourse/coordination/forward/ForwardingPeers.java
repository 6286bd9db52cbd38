package org.chivecourse.coordination.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.ServerMode;
import org.chivecourse.coordination.fleet.FleetPeer;
import org.chivecourse.coordination.fleet.RendezvousHash;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.server.ServerState;

/**
 * The other gateways that take calls which this one cannot send to a backend server. Towards the transport each of them
 * is one more backend server.
 */
public final class ForwardingPeers {

    /** The prefix of the identities of gateways, which distinguishes them from backend servers. */
    private static final String IDENTITY_PREFIX = "gateway/";

    /** The maximum number of calls that this gateway forwards to another one at the same time. */
    private static final int MAXIMUM_CALLS_PER_PEER = 64;

    /** The settings of this host. */
    private final HostSettings settings;

    /** The names of the live gateways, whether they take calls or not. */
    private Set<String> liveNames = Set.of();

    /** The gateways that take calls, by name. */
    private final Map<String, ServerState> peersByName = new TreeMap<>();

    /**
     * Creates an instance without gateways.
     *
     * @param settings the settings of this host
     */
    public ForwardingPeers(HostSettings settings) {
        this.settings = settings;
    }

    /**
     * Replaces the gateways by those of the live ones that take calls. The state of gateways that remain is kept.
     *
     * @param live the live gateways
     * @return {@code true} if that has changed which gateways there are
     */
    public boolean update(Collection<FleetPeer> live, long now) {
        Set<String> names = new HashSet<>();
        liveNames = new HashSet<>();
        boolean changed = false;
        for (FleetPeer peer : live) {
            liveNames.add(peer.member().name());
            String address = peer.latestDigest().forwardingAddress();
            if (address.isEmpty()) {
                continue;
            }
            String name = peer.member().name();
            names.add(name);
            ServerState known = peersByName.get(name);
            if (known == null || !known.address().equals(address)) {
                peersByName.put(name, createState(peer, address, now));
                changed = true;
            }
        }
        return peersByName.keySet().retainAll(names) || changed;
    }

    /** Creates the state of a gateway that takes calls from now on. */
    private ServerState createState(FleetPeer peer, String address, long now) {
        String dataCentre = peer.member().dataCentre();
        BackendServer server = new BackendServer(
                address,
                dataCentre,
                MAXIMUM_CALLS_PER_PEER,
                MAXIMUM_CALLS_PER_PEER * settings.expectedHosts(),
                ServerMode.ACTIVE,
                IDENTITY_PREFIX + peer.member().name());
        return new ServerState(server, 0, dataCentre.equals(settings.dataCentre()), now, true);
    }

    /**
     * Chooses the gateway that a call is forwarded to: one that the call has not been forwarded to, of the same data
     * centre if there is one, with the fewest calls of this gateway.
     *
     * @return the gateway, {@code null} if none takes the call
     */
    public ServerState choose(CallState call, long now) {
        ServerState best = null;
        for (ServerState peer : peersByName.values()) {
            boolean eligible = !peer.condition().isUnreachable(now)
                    && !call.hasTried(peer)
                    && peer.ownInFlight() < MAXIMUM_CALLS_PER_PEER;
            if (eligible && (best == null || isBetter(peer, best))) {
                best = peer;
            }
        }
        return best;
    }

    /**
     * Elects the live gateway that alone sends a suspected request. Gateways that know the same live ones agree.
     *
     * @param fingerprint the fingerprint of the request
     * @return its name, which may be that of this gateway
     */
    public String electSender(long fingerprint) {
        String key = Long.toHexString(fingerprint);
        String elected = settings.name();
        for (String name : liveNames) {
            elected = RendezvousHash.ranksAbove(name, elected, key) ? name : elected;
        }
        return elected;
    }

    /** Returns the gateway with a name, {@code null} if it takes no calls. */
    public ServerState peer(String name) {
        return peersByName.get(name);
    }

    /** Returns whether a gateway is nearer than another one, or as near with fewer calls of this gateway. */
    private static boolean isBetter(ServerState peer, ServerState other) {
        return peer.local() == other.local() ? peer.ownInFlight() < other.ownInFlight() : peer.local();
    }

    /** Returns whether there is any gateway that takes calls. */
    public boolean available() {
        return !peersByName.isEmpty();
    }

    /** Returns the gateways as backend servers, for the transport. */
    public List<BackendServer> servers() {
        List<BackendServer> servers = new ArrayList<>();
        peersByName.values().forEach(peer -> servers.add(peer.server()));
        return servers;
    }
}
