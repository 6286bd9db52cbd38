package org.chivecourse.coordination.publication;

import java.util.function.BooleanSupplier;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;

/**
 * The reading of what is published from the publisher itself.
 *
 * <p>It reads everything once and then waits for changes after the last known revision. Each call is bounded in time. A
 * call after a failure asks for no wait, so that its answer shows at once whether the publisher is back.
 */
public final class PublicationPoller {

    /** The time for which a call waits for changes, in milliseconds. */
    static final int WATCH_WAIT_MILLISECONDS = 3000;

    /** The time that a call may take beyond its wait, in nanoseconds. */
    static final long CALL_MARGIN_NANOSECONDS = 600_000_000L;

    /** The time for which a full read may take, in nanoseconds. */
    static final long LIST_TIMEOUT_NANOSECONDS = 1_500_000_000L;

    /** The pause after a first failure, in nanoseconds. */
    private static final long FIRST_RETRY_DELAY_NANOSECONDS = 50_000_000L;

    /** The pause after further failures, in nanoseconds. */
    private static final long LATER_RETRY_DELAY_NANOSECONDS = 700_000_000L;

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

    /** The number of the last call. */
    private long callNumber;

    /** Whether a call is under way. */
    private boolean inFlight;

    /** The time at which the call under way is given up, in nanoseconds. */
    private long timeoutAt;

    /** The time before which no call starts, in nanoseconds. */
    private long nextCallAt;

    /** The number of failures since the last success. */
    private int failures;

    /** Whether the whole has to be read, since changes were forgotten. */
    private boolean listRequired;

    /** Whether a read of the whole may be out of date. */
    private boolean staleAllowed = true;

    /** The time of the last success, in nanoseconds. */
    private long lastSuccessAt;

    /** Whether there was a success. */
    private boolean hasSucceeded;

    /**
     * Starts the call that is due and gives up one that takes too long.
     *
     * @param requested returns whether this gateway should read from the publisher
     * @param revision the revision up to which everything is known, zero if nothing is
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void startDueCall(BooleanSupplier requested, long revision, long now, DecisionSink sink) {
        if (inFlight && now - timeoutAt >= 0) {
            sink.decide(new Decision.CancelPublication(callNumber));
            failCall(callNumber, false, now);
        }
        if (inFlight || now - nextCallAt < 0) {
            return;
        }
        boolean readDue = failures > 0 || revision == 0 || requested.getAsBoolean();
        if (!readDue) {
            return;
        }
        inFlight = true;
        callNumber++;
        if (revision == 0 || listRequired) {
            timeoutAt = now + LIST_TIMEOUT_NANOSECONDS;
            sink.decide(new Decision.ListPublication(callNumber, staleAllowed));
            return;
        }
        int waitMilliseconds = failures > 0 || !hasSucceeded ? 1 : WATCH_WAIT_MILLISECONDS;
        timeoutAt = now + waitMilliseconds * NANOSECONDS_PER_MILLISECOND + CALL_MARGIN_NANOSECONDS;
        sink.decide(new Decision.WatchPublication(callNumber, revision, waitMilliseconds));
    }

    /**
     * Takes the end of a call.
     *
     * @param endedCall the number of the call
     * @param now the time in nanoseconds
     * @return {@code true} if its answer is to be used
     */
    public boolean completeCall(long endedCall, long now) {
        if (!inFlight || endedCall != callNumber) {
            return false;
        }
        inFlight = false;
        failures = 0;
        listRequired = false;
        staleAllowed = false;
        hasSucceeded = true;
        lastSuccessAt = now;
        return true;
    }

    /**
     * Takes the failure of a call.
     *
     * @param endedCall the number of the call
     * @param forgotten whether the publisher has forgotten the changes that were asked for
     * @param now the time in nanoseconds
     * @return {@code true} if it was the call under way
     */
    public boolean failCall(long endedCall, boolean forgotten, long now) {
        if (!inFlight || endedCall != callNumber) {
            return false;
        }
        inFlight = false;
        if (forgotten) {
            listRequired = true;
            return true;
        }
        failures++;
        nextCallAt = now + (failures == 1 ? FIRST_RETRY_DELAY_NANOSECONDS : LATER_RETRY_DELAY_NANOSECONDS);
        return true;
    }

    /**
     * Returns whether the publisher answers, as far as is known.
     *
     * @return {@code true} unless the last calls failed
     */
    public boolean publisherReachable() {
        return failures < 2;
    }

    /**
     * Returns whether the publisher answered recently.
     *
     * @param now the time in nanoseconds
     * @return {@code true} if a call succeeded within the time that calls take
     */
    public boolean succeededRecently(long now) {
        return hasSucceeded
                && now - lastSuccessAt
                        <= WATCH_WAIT_MILLISECONDS * NANOSECONDS_PER_MILLISECOND + CALL_MARGIN_NANOSECONDS;
    }

    /**
     * Returns the time since the publisher last answered.
     *
     * @param now the time in nanoseconds
     * @return the time in milliseconds, negative if it never has
     */
    public long millisecondsSinceAnswer(long now) {
        return hasSucceeded ? (now - lastSuccessAt) / NANOSECONDS_PER_MILLISECOND : -1;
    }

    /**
     * Returns whether a call is under way.
     *
     * @return {@code true} if the publisher is being read
     */
    public boolean inFlight() {
        return inFlight;
    }
}
