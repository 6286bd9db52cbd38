package org.chivecourse.coordination.fleet;

import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.fleet.Member;

/** Another gateway of the fleet, as known to this one. Times are in nanoseconds of this gateway's monotonic clock. */
public final class FleetPeer {

    /** The name, address and data centre of the other gateway. */
    private Member member;

    /** The data centre of this gateway. */
    private final String ownDataCentre;

    /** Whether the other gateway is in the same data centre as this one. */
    private boolean local;

    /** The latest digest, {@code null} while the gateway is only known indirectly. */
    private FleetDigest latestDigest;

    /** The incarnation that preceded the one of the latest digest; its digests are ignored if they arrive late. */
    private long previousIncarnation;

    /** The time of the latest digest, or the time at which the gateway became known if it has sent none. */
    private long lastReceivedAt;

    /** The time at which a digest was last sent to the gateway. */
    private long lastSentAt;

    /**
     * Creates a peer that has not sent a digest yet and is due for one.
     *
     * @param member the name, address and data centre of the other gateway
     * @param ownDataCentre the data centre of this gateway
     * @param now the current time in nanoseconds
     */
    FleetPeer(Member member, String ownDataCentre, long now) {
        this.ownDataCentre = ownDataCentre;
        this.member = member;
        local = member.dataCentre().equals(ownDataCentre);
        lastReceivedAt = now;
        lastSentAt = now - DigestSchedule.REMOTE_DIGEST_INTERVAL_NANOSECONDS;
    }

    /**
     * Accepts a digest, unless it is a duplicate, out of order or of the previous incarnation.
     *
     * @param digest the digest
     * @param now the current time in nanoseconds
     * @return {@code true} if it is newer than the latest one
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
        local = member.dataCentre().equals(ownDataCentre);
        latestDigest = digest;
        lastReceivedAt = now;
        return true;
    }

    /**
     * Records that a digest was sent to the gateway.
     *
     * @param now the current time in nanoseconds
     */
    void recordSent(long now) {
        lastSentAt = now;
    }

    /**
     * Returns the time since a digest was last sent to the gateway.
     *
     * @param now the current time in nanoseconds
     * @return the time in nanoseconds
     */
    long sinceLastSent(long now) {
        return now - lastSentAt;
    }

    /** Returns whether the gateway is in the same data centre as this one. */
    boolean local() {
        return local;
    }

    /** Returns the name, address and data centre of the gateway. */
    public Member member() {
        return member;
    }

    /**
     * Returns the latest digest.
     *
     * @return the digest, {@code null} while the gateway is only known indirectly
     */
    public FleetDigest latestDigest() {
        return latestDigest;
    }

    /**
     * Returns the time since the latest digest, or since the gateway became known if it has sent none.
     *
     * @param now the current time in nanoseconds
     * @return the time in nanoseconds
     */
    public long sinceLastReceived(long now) {
        return now - lastReceivedAt;
    }
}
