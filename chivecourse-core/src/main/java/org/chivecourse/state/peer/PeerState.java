package org.chivecourse.state.peer;

/** The state that a host keeps for another gateway. Times are in nanoseconds of the host's monotonic clock. */
public final class PeerState {

    /** The latest entry of the host list. */
    private ListedHost host;

    /** The latest digest, {@code null} before the first one. */
    private PeerDigest latestDigest;

    /** The time at which the latest digest was received. */
    private long receivedAt;

    /**
     * Creates the state of a peer that has sent no digest yet.
     *
     * @param host the entry of the host list
     */
    public PeerState(ListedHost host) {
        this.host = host;
    }

    /**
     * Replaces the entry of the host list.
     *
     * @param listed the latest entry
     */
    public void updateHost(ListedHost listed) {
        host = listed;
    }

    /**
     * Records a digest unless it is outdated; datagrams may arrive late, twice or out of order.
     *
     * @param digest the digest
     * @param now the current time
     * @return {@code true} if it is newer than any before
     */
    public boolean recordDigest(PeerDigest digest, long now) {
        if (latestDigest != null && isOutdated(digest)) {
            return false;
        }
        latestDigest = digest;
        receivedAt = now;
        return true;
    }

    /**
     * Returns whether a digest is not newer than the latest one, by incarnation and then by sequence.
     *
     * @param digest the digest
     * @return {@code true} if it is to be ignored
     */
    private boolean isOutdated(PeerDigest digest) {
        if (digest.incarnation() != latestDigest.incarnation()) {
            return digest.incarnation() < latestDigest.incarnation();
        }
        return digest.sequence() <= latestDigest.sequence();
    }

    /** Returns the latest entry of the host list. */
    public ListedHost host() {
        return host;
    }

    /** Returns the latest digest, {@code null} before the first one. */
    public PeerDigest latestDigest() {
        return latestDigest;
    }

    /**
     * Returns whether a digest was received recently.
     *
     * @param now the current time
     * @param maximumAgeNanoseconds the age below which a digest counts as recent
     * @return {@code true} if there is a digest and it is younger than that
     */
    public boolean receivedWithin(long now, long maximumAgeNanoseconds) {
        return latestDigest != null && now - receivedAt < maximumAgeNanoseconds;
    }

    /**
     * Returns the time since the latest digest was received.
     *
     * @param now the current time
     * @return the time in nanoseconds, negative before the first digest
     */
    public long timeSinceReceived(long now) {
        return latestDigest == null ? -1 : now - receivedAt;
    }
}
