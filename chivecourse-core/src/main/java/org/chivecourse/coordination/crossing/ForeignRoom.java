package org.chivecourse.coordination.crossing;

import org.chivecourse.state.fleet.Room;

/**
 * What another data centre said that it takes of a service, and what this gateway may send there. The share of this
 * gateway accrues at an equal part of the stated rate, so that all gateways that send keep to the rate together.
 */
final class ForeignRoom {

    /** The age at which a statement counts half. */
    private static final double HALF_AGE_NANOSECONDS = 1_000_000_000.0;

    /** The age from which a statement no longer counts, in nanoseconds. */
    static final long MAXIMUM_AGE_NANOSECONDS = 3_500_000_000L;

    /** The time of unused share that may be made up for, in seconds. */
    private static final double MAXIMUM_UNUSED_SECONDS = 0.5;

    /** The smallest number of requests that may be made up for. */
    private static final double MINIMUM_UNUSED_REQUESTS = 1;

    /** The number of nanoseconds in a second. */
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** The latest statement. */
    private Room room;

    /** The requests that may be sent now. */
    private double permitted = MINIMUM_UNUSED_REQUESTS;

    /** The time up to which the share has accrued, in nanoseconds. */
    private long accruedAt;

    /** Creates what is known of a data centre from its first statement. */
    ForeignRoom(Room room, long now) {
        this.room = room;
        accruedAt = now;
    }

    /** Replaces the statement, unless it is older. */
    void update(Room stated) {
        if (stated.observedAt() - room.observedAt() >= 0) {
            room = stated;
        }
    }

    /** Returns the latest statement. */
    Room room() {
        return room;
    }

    /** Returns whether the statement is too old to count. */
    boolean outdated(long now) {
        return now - room.observedAt() > MAXIMUM_AGE_NANOSECONDS;
    }

    /**
     * Returns whether one more request may be sent.
     *
     * @param senders the number of gateways among which the stated rate is divided
     */
    boolean permits(int senders, long now) {
        double age = Math.max(0, now - room.observedAt());
        double perSecond = room.spareRequestsPerSecond() / (1 + age / HALF_AGE_NANOSECONDS) / Math.max(1, senders);
        double maximum = Math.max(MINIMUM_UNUSED_REQUESTS, perSecond * MAXIMUM_UNUSED_SECONDS);
        permitted = Math.min(maximum, permitted + perSecond * (now - accruedAt) / NANOSECONDS_PER_SECOND);
        accruedAt = now;
        return perSecond > 0 && permitted >= 1;
    }

    /** Records a request that was sent, on a statement or because the load of the server itself was known. */
    void recordRequest() {
        permitted = Math.max(0, permitted - 1);
    }
}
