package org.chivecourse.coordination.publication;

import org.chivecourse.coordination.registry.ServerRegistry;

/** Tells an outage of the publisher for the whole fleet from one that concerns few gateways. */
public final class OutageDetector {

    /**
     * The time between two answers of the publisher to any gateway from which on announcements may have expired, in
     * nanoseconds: longer than the time that a call may take.
     */
    private static final long MINIMUM_OUTAGE_NANOSECONDS =
            PublicationPoller.WATCH_WAIT_MILLISECONDS * 1_000_000L + PublicationPoller.CALL_MARGIN_NANOSECONDS;

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

    /** The time of the last sign that the publisher answers some gateway, in nanoseconds. */
    private long lastAnswerAt;

    /** The end of the last outage, in nanoseconds. */
    private long lastOutageEndedAt;

    /** Whether there was a sign that the publisher answers. */
    private boolean hasAnswered;

    /** Whether there was an outage. */
    private boolean hadOutage;

    /**
     * Notes that the publisher answered some gateway of the fleet.
     *
     * @param at the time of the answer, in nanoseconds
     */
    public void recordAnswer(long at) {
        if (hasAnswered && at - lastAnswerAt <= 0) {
            return;
        }
        if (hasAnswered && at - lastAnswerAt > MINIMUM_OUTAGE_NANOSECONDS) {
            lastOutageEndedAt = at;
            hadOutage = true;
        }
        hasAnswered = true;
        lastAnswerAt = at;
    }

    /**
     * Returns the time since the last sign that the publisher answers some gateway.
     *
     * @param now the time in nanoseconds
     * @return the time in milliseconds, negative without a sign
     */
    public long millisecondsSinceAnswer(long now) {
        return hasAnswered ? Math.max(0, now - lastAnswerAt) / NANOSECONDS_PER_MILLISECOND : -1;
    }

    /**
     * Returns until when a backend server is kept whose announcement ends now.
     *
     * @param now the time in nanoseconds
     * @return the present time, or a later one shortly after an outage
     */
    public long keepUntil(long now) {
        boolean recent = hadOutage && now - lastOutageEndedAt < ServerRegistry.REANNOUNCEMENT_GRACE_NANOSECONDS;
        return recent ? lastOutageEndedAt + ServerRegistry.REANNOUNCEMENT_GRACE_NANOSECONDS : now;
    }
}
