package org.chivecourse.coordination.membership;

import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.state.peer.PeerState;

/**
 * Elects the gateways that watch the configuration service continuously, while the others poll it at intervals. Each
 * gateway evaluates the election on its own, without coordination.
 */
public enum ConfigurationWatcherElection {
    /** The only instance. */
    INSTANCE;

    /** The number of watching gateways in each data centre. */
    private static final int WATCHERS_PER_DATA_CENTRE = 2;

    /**
     * Returns whether this gateway watches the configuration service.
     *
     * <p>Each gateway ranks the reachable gateways of its data centre by a hash of their names, and the first ones
     * watch. A gateway that reaches no other one always watches, so that inconsistent views cause additional reads
     * rather than a missed configuration.
     *
     * @param settings the settings of this host
     * @param membership the other gateways
     * @param now the current time in nanoseconds
     * @return {@code true} if this gateway is among the first or reaches no other
     */
    public boolean isWatcher(HostSettings settings, Membership membership, long now) {
        int ownRank = rank(settings.name());
        int lowerRankedCount = 0;
        boolean alone = true;
        for (PeerState peer : membership.peers()) {
            boolean reachable =
                    membership.reachable(peer, now) && !peer.latestDigest().stopping();
            alone &= !reachable;
            boolean local = peer.host().dataCentre().equals(settings.dataCentre());
            if (reachable && local && rank(peer.host().name()) < ownRank) {
                lowerRankedCount++;
            }
        }
        return alone || lowerRankedCount < WATCHERS_PER_DATA_CENTRE;
    }

    /**
     * Returns the rank of a host, a hash of its name that is the same on every gateway. Knuth's multiplicative constant
     * and the shift spread the hash codes of similar names.
     *
     * @param name the name of the host
     * @return the rank, lower ranks first; it may be negative
     */
    private static int rank(String name) {
        int hash = name.hashCode();
        return hash * 0x9e3779b1 ^ hash >>> 15;
    }
}
