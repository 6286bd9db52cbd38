package org.chivecourse.coordination.fleet;

import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.fleet.Member;

/** What a gateway knows of another one; times are in nanoseconds of its own monotonic clock. */
public final class FleetPeer {

    /** The other gateway. */
    private Member member;

    /** The last digest, {@code null} before the first. */
    private FleetDigest latestDigest;

    /** The incarnation before the present one. */
    private long previousIncarnation;

    /** The time of the last digest, or the time at which the gateway was first heard of. */
    private long lastReceivedAt;

    /** The time at which this gateway last wrote to it. */
    private long lastSentAt;

    /**
     * Creates a neighbour that was not heard yet.
     *
     * @param member the other gateway
     * @param now the time in nanoseconds
     */
    FleetPeer(Member member, long now) {
        this.member = member;
        lastReceivedAt = now;
        lastSentAt = now - DigestSchedule.REMOTE_DIGEST_INTERVAL_NANOSECONDS;
    }

    /**
     * Takes a digest.
     *
     * @param digest the digest
     * @param now the time in nanoseconds
     * @return {@code true} if it is newer than those before
     */
    boolean accept(FleetDigest digest, long now) {
        if (latestDigest != null
                && digest.incarnation() == latestDigest.incarnation()
                && digest.sequence() <= latestDigest.sequence()) {
            return false;
        }
        if (latestDigest != null && digest.incarnation() == previousIncarnation) {
            return false;
        }
        if (latestDigest != null && digest.incarnation() != latestDigest.incarnation()) {
            previousIncarnation = latestDigest.incarnation();
        }
        member = digest.sender();
        latestDigest = digest;
        lastReceivedAt = now;
        return true;
    }

    /**
     * Notes that this gateway wrote to the neighbour.
     *
     * @param now the time in nanoseconds
     */
    void recordSent(long now) {
        lastSentAt = now;
    }

    /**
     * Returns the time since this gateway last wrote to the neighbour.
     *
     * @param now the time in nanoseconds
     * @return the time in nanoseconds
     */
    long sinceLastSent(long now) {
        return now - lastSentAt;
    }

    /**
     * Returns the other gateway.
     *
     * @return the member
     */
    public Member member() {
        return member;
    }

    /**
     * Returns the last digest.
     *
     * @return the digest, {@code null} before the first
     */
    public FleetDigest latestDigest() {
        return latestDigest;
    }

    /**
     * Returns the time since the last digest.
     *
     * @param now the time in nanoseconds
     * @return the time in nanoseconds
     */
    public long sinceLastReceived(long now) {
        return now - lastReceivedAt;
    }
}
