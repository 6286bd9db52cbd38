package org.chivecourse.coordination.publication;

import org.chivecourse.coordination.registry.ServerRegistry;

/**
 * Detects outages of the publisher that affect the whole fleet, as opposed to failures that affect only a few gateways.
 */
public final class OutageDetector {

    /**
     * The time between two consecutive answers of the publisher, each to any gateway, above which an outage is assumed
     * in which announcements may have expired, in nanoseconds. It is the longest time that a watch may take, so that a
     * quiet publisher is not mistaken for an outage.
     */
    private static final long MINIMUM_OUTAGE_NANOSECONDS =
            PublicationPoller.WATCH_WAIT_MILLISECONDS * 1_000_000L + PublicationPoller.CALL_MARGIN_NANOSECONDS;

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

    /** The time of the last known answer of the publisher to any gateway, in nanoseconds. */
    private long lastAnswerAt;

    /** The time at which the last outage ended, in nanoseconds. */
    private long lastOutageEndedAt;

    /** Whether any answer of the publisher is known. */
    private boolean hasAnswered;

    /** Whether an outage has ended so far. */
    private boolean hadOutage;

    /**
     * Records that the publisher answered some gateway of the fleet. An answer that is not later than the last known
     * one is ignored.
     *
     * @param answeredAt the time of the answer, in nanoseconds
     */
    public void recordAnswer(long answeredAt) {
        if (hasAnswered && answeredAt - lastAnswerAt <= 0) {
            return;
        }
        if (hasAnswered && answeredAt - lastAnswerAt > MINIMUM_OUTAGE_NANOSECONDS) {
            lastOutageEndedAt = answeredAt;
            hadOutage = true;
        }
        hasAnswered = true;
        lastAnswerAt = answeredAt;
    }

    /**
     * Records that the publisher was restored from a copy, which lacks the latest announcements as if they had expired.
     *
     * @param now the current time in nanoseconds
     */
    void recordRestore(long now) {
        lastOutageEndedAt = now;
        hadOutage = true;
    }

    /**
     * Returns the time since the last known answer of the publisher to any gateway.
     *
     * @param now the current time in nanoseconds
     * @return the time in milliseconds, negative if no answer is known
     */
    public long millisecondsSinceAnswer(long now) {
        return hasAnswered ? Math.max(0, now - lastAnswerAt) / NANOSECONDS_PER_MILLISECOND : -1;
    }

    /**
     * Returns the time until which a backend server is kept if its announcement ends now.
     *
     * @param now the current time in nanoseconds
     * @return the end of the grace period after a recent outage, otherwise the current time
     */
    public long keepUntil(long now) {
        boolean recent = hadOutage && now - lastOutageEndedAt < ServerRegistry.REANNOUNCEMENT_GRACE_NANOSECONDS;
        return recent ? lastOutageEndedAt + ServerRegistry.REANNOUNCEMENT_GRACE_NANOSECONDS : now;
    }
}
