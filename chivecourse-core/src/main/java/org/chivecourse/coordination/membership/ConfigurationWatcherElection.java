package org.chivecourse.coordination.membership;

import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.state.peer.PeerState;

/** Decides without agreement which gateways watch the configuration service without pause. */
public enum ConfigurationWatcherElection {
    /** The only instance. */
    INSTANCE;

    /** The number of watchers in each data centre. */
    private static final int WATCHERS_PER_DATA_CENTRE = 2;

    /**
     * Returns whether this gateway watches.
     *
     * <p>Each gateway ranks the reachable gateways of its data centre by a hash of their names. One that reaches nobody
     * watches in any case, so that wrong ranks cost reads and never a configuration.
     *
     * @param settings what the core knows of its host
     * @param membership the other gateways
     * @param now the time in nanoseconds
     * @return {@code true} if this gateway is among the first
     */
    public boolean isWatcher(HostSettings settings, Membership membership, long now) {
        int ownRank = rank(settings.name());
        int before = 0;
        boolean alone = true;
        for (PeerState peer : membership.peers()) {
            boolean reachable =
                    membership.reachable(peer, now) && !peer.latestDigest().stopping();
            alone &= !reachable;
            boolean local = peer.host().dataCentre().equals(settings.dataCentre());
            if (reachable && local && rank(peer.host().name()) < ownRank) {
                before++;
            }
        }
        return alone || before < WATCHERS_PER_DATA_CENTRE;
    }

    /**
     * Returns the rank of a name.
     *
     * @param name the name of a host
     * @return the rank
     */
    private static int rank(String name) {
        int hash = name.hashCode();
        return hash * 0x9e3779b1 ^ hash >>> 15;
    }
}
