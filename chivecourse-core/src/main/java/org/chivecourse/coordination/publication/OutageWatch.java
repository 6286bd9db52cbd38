package org.chivecourse.coordination.publication;

import org.chivecourse.coordination.registry.Registry;

/** Tells an outage of the publisher for the whole fleet from one that concerns few gateways. */
public final class OutageWatch {

    /**
     * The time between two answers of the publisher to any gateway from which on announcements may have expired, in
     * nanoseconds: longer than the time that a call may take.
     */
    private static final long OUTAGE_NANOSECONDS =
            PublicationFeed.WAIT_MILLISECONDS * 1_000_000L + PublicationFeed.CALL_NANOSECONDS;

    /** The number of nanoseconds in a millisecond. */
    private static final long MILLISECOND = 1_000_000L;

    /** The time of the last sign that the publisher answers some gateway, in nanoseconds. */
    private long answeredAt;

    /** The end of the last outage, in nanoseconds. */
    private long endedAt;

    /** Whether there was a sign that the publisher answers. */
    private boolean known;

    /** Whether there was an outage. */
    private boolean ended;

    /**
     * Notes that the publisher answered some gateway of the fleet.
     *
     * @param at the time of the answer, in nanoseconds
     */
    public void answered(long at) {
        if (known && at - answeredAt <= 0) {
            return;
        }
        if (known && at - answeredAt > OUTAGE_NANOSECONDS) {
            endedAt = at;
            ended = true;
        }
        known = true;
        answeredAt = at;
    }

    /**
     * Returns the time since the last sign that the publisher answers some gateway.
     *
     * @param now the time in nanoseconds
     * @return the time in milliseconds, negative without a sign
     */
    public long answeredMilliseconds(long now) {
        return known ? Math.max(0, now - answeredAt) / MILLISECOND : -1;
    }

    /**
     * Returns until when a backend server is kept whose announcement ends now.
     *
     * @param now the time in nanoseconds
     * @return the present time, or a later one shortly after an outage
     */
    public long keepUntil(long now) {
        boolean recent = ended && now - endedAt < Registry.RETURN_NANOSECONDS;
        return recent ? endedAt + Registry.RETURN_NANOSECONDS : now;
    }
}
