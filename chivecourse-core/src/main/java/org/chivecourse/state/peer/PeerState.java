package org.chivecourse.state.peer;

/** What one host knows of another host's gateway; times are in nanoseconds of the host's monotonic clock. */
public final class PeerState {

    /** The host as listed last. */
    private ListedHost host;

    /** The latest digest, {@code null} before the first. */
    private PeerDigest latest;

    /** The time of the latest digest. */
    private long heardAt;

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
    public void list(ListedHost listed) {
        host = listed;
    }

    /**
     * Takes a digest unless it is older than one that was taken before.
     *
     * @param digest the digest
     * @param now the time
     * @return {@code true} if the digest is new
     */
    public boolean hear(PeerDigest digest, long now) {
        if (latest != null && older(digest)) {
            return false;
        }
        latest = digest;
        heardAt = now;
        return true;
    }

    /**
     * Returns whether a digest is not newer than the latest.
     *
     * @param digest the digest
     * @return {@code true} if it is of an earlier life, or not later in the same
     */
    private boolean older(PeerDigest digest) {
        if (digest.incarnation() != latest.incarnation()) {
            return digest.incarnation() < latest.incarnation();
        }
        return digest.sequence() <= latest.sequence();
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
    public PeerDigest latest() {
        return latest;
    }

    /**
     * Returns whether the peer was heard within a time.
     *
     * @param now the time
     * @param nanoseconds the length of the time
     * @return {@code true} if a digest came in it
     */
    public boolean heardWithin(long now, long nanoseconds) {
        return latest != null && now - heardAt < nanoseconds;
    }

    /**
     * Returns the time since the latest digest.
     *
     * @param now the time
     * @return the time in nanoseconds, negative before the first digest
     */
    public long silence(long now) {
        return latest == null ? -1 : now - heardAt;
    }
}
