package org.chivecourse.coordination.fleet;

import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.fleet.Member;

/** What a gateway knows of another one; times are in nanoseconds of its own monotonic clock. */
public final class Neighbour {

    /** The other gateway. */
    private Member member;

    /** The last digest, {@code null} before the first. */
    private FleetDigest latest;

    /** The incarnation before the present one. */
    private long earlierIncarnation;

    /** The time of the last digest, or the time at which the gateway was first heard of. */
    private long heardAt;

    /** The time at which this gateway last wrote to it. */
    private long toldAt;

    /**
     * Creates a neighbour that was not heard yet.
     *
     * @param member the other gateway
     * @param now the time in nanoseconds
     */
    Neighbour(Member member, long now) {
        this.member = member;
        heardAt = now;
        toldAt = now - DigestSchedule.FAR_NANOSECONDS;
    }

    /**
     * Takes a digest.
     *
     * @param digest the digest
     * @param now the time in nanoseconds
     * @return {@code true} if it is newer than those before
     */
    boolean hear(FleetDigest digest, long now) {
        if (latest != null && digest.incarnation() == latest.incarnation() && digest.sequence() <= latest.sequence()) {
            return false;
        }
        if (latest != null && digest.incarnation() == earlierIncarnation) {
            return false;
        }
        if (latest != null && digest.incarnation() != latest.incarnation()) {
            earlierIncarnation = latest.incarnation();
        }
        member = digest.sender();
        latest = digest;
        heardAt = now;
        return true;
    }

    /**
     * Notes that this gateway wrote to the neighbour.
     *
     * @param now the time in nanoseconds
     */
    void told(long now) {
        toldAt = now;
    }

    /**
     * Returns the time since this gateway last wrote to the neighbour.
     *
     * @param now the time in nanoseconds
     * @return the time in nanoseconds
     */
    long sinceTold(long now) {
        return now - toldAt;
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
    public FleetDigest latest() {
        return latest;
    }

    /**
     * Returns the time since the last digest.
     *
     * @param now the time in nanoseconds
     * @return the time in nanoseconds
     */
    public long silence(long now) {
        return now - heardAt;
    }
}
