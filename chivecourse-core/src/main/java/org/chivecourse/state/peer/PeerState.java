package org.chivecourse.state.peer;

/** What one host knows of another host's gateway; times are in nanoseconds of the host's monotonic clock. */
public final class PeerState {

    /** The host as listed last. */
    private ListedHost host;

    /** The latest digest, {@code null} before the first. */
    private PeerDigest latestDigest;

    /** The time of the latest digest. */
    private long receivedAt;

    /**
     * Creates the state of a peer that was not heard yet.
     *
     * @param host the host as listed
     */
    public PeerState(ListedHost host) {
        this.host = host;
    }

    /**
     * Takes over a changed entry of the host list.
     *
     * @param listed the host as listed now
     */
    public void updateHost(ListedHost listed) {
        host = listed;
    }

    /**
     * Takes a digest unless it is older than one that was taken before.
     *
     * @param digest the digest
     * @param now the time
     * @return {@code true} if the digest is new
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
     * Returns whether a digest is not newer than the latest.
     *
     * @param digest the digest
     * @return {@code true} if it is of an earlier life, or not later in the same
     */
    private boolean isOutdated(PeerDigest digest) {
        if (digest.incarnation() != latestDigest.incarnation()) {
            return digest.incarnation() < latestDigest.incarnation();
        }
        return digest.sequence() <= latestDigest.sequence();
    }

    /**
     * Returns the host as listed last.
     *
     * @return the host
     */
    public ListedHost host() {
        return host;
    }

    /**
     * Returns the latest digest.
     *
     * @return the digest, {@code null} before the first
     */
    public PeerDigest latestDigest() {
        return latestDigest;
    }

    /**
     * Returns whether the peer was heard within a time.
     *
     * @param now the time
     * @param nanoseconds the length of the time
     * @return {@code true} if a digest came in it
     */
    public boolean receivedWithin(long now, long nanoseconds) {
        return latestDigest != null && now - receivedAt < nanoseconds;
    }

    /**
     * Returns the time since the latest digest.
     *
     * @param now the time
     * @return the time in nanoseconds, negative before the first digest
     */
    public long timeSinceReceived(long now) {
        return latestDigest == null ? -1 : now - receivedAt;
    }
}
