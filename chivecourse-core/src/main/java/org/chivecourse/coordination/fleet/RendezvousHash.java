package org.chivecourse.coordination.fleet;

/**
 * Ranks gateways for a backend server, so that gateways which know the same ones divide the backend servers among
 * themselves without agreement. The ranking differs from one backend server to the next.
 */
public final class RendezvousHash {

    /** The number of ranks. */
    private static final double RANKS = 4_294_967_296.0;

    /** This class has only static methods. */
    private RendezvousHash() {}

    /**
     * Returns whether one name ranks above another for a backend server. Equal ranks are decided by name.
     *
     * @param name the name of a gateway or data centre
     * @param other the other name
     * @param identity the identity of the backend server
     * @return {@code true} if the first name ranks higher
     */
    public static boolean ranksAbove(String name, String other, String identity) {
        int rank = rank(name, identity);
        int otherRank = rank(other, identity);
        return rank > otherRank || rank == otherRank && name.compareTo(other) > 0;
    }

    /**
     * Returns the rank of a name for a backend server as a share of all ranks.
     *
     * @param name the name of a gateway or data centre
     * @param identity the identity of the backend server
     * @return a number from zero to one
     */
    public static double share(String name, String identity) {
        return Integer.toUnsignedLong(rank(name, identity)) / RANKS;
    }

    /** Returns a hash of both texts. The multipliers are mixing constants that spread similar names. */
    private static int rank(String name, String identity) {
        int hash = (name.hashCode() * 31 + identity.hashCode()) * 0x9e3779b1;
        hash ^= hash >>> 15;
        return hash * 0x85ebca6b;
    }
}
