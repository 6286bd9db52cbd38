package org.chivecourse.coordination.fleet;

import org.chivecourse.state.fleet.FleetDigest;

/** The times at which the publisher answered other gateways that watch it. */
final class OtherAnswers {

    /**
     * The age up to which a reported answer is the one that the report was sent for, in milliseconds. Later reports may
     * forward the answer to yet another gateway.
     */
    private static final int MAXIMUM_AGE_MILLISECONDS = 20;

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

    /** The time of the last known answer, in nanoseconds. */
    private long answeredAt;

    /** Whether an answer is known. */
    private boolean known;

    /** Records what another gateway reports of the publisher. */
    void record(FleetDigest.PublisherStatus status, long now) {
        if (status.watching() && status.lastAnswerAgeMilliseconds() <= MAXIMUM_AGE_MILLISECONDS) {
            answeredAt = now - status.lastAnswerAgeMilliseconds() * NANOSECONDS_PER_MILLISECOND;
            known = true;
        }
    }

    /** Returns the time since the last known answer in milliseconds, negative if none is known. */
    long millisecondsSince(long now) {
        return known ? (now - answeredAt) / NANOSECONDS_PER_MILLISECOND : -1;
    }
}
