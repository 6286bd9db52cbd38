package org.chivecourse.coordination.publication;

import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;

/**
 * Schedules the calls of this gateway that read from the publisher.
 *
 * <p>It lists all items once and then watches for changes after the last known revision. Each call has a timeout. A
 * watch after a failure requests the shortest wait, so that its answer shows without delay whether the publisher is
 * reachable again.
 */
public final class PublicationPoller {

    /** The time for which the publisher holds a watch open when there are no changes, in milliseconds. */
    static final int WATCH_WAIT_MILLISECONDS = 3000;

    /** The time that a watch may take beyond its wait before it times out, in nanoseconds. */
    static final long CALL_MARGIN_NANOSECONDS = 600_000_000L;

    /** The time after which a listing times out, in nanoseconds. */
    static final long LIST_TIMEOUT_NANOSECONDS = 1_500_000_000L;

    /** The delay before the retry after a first failure, in nanoseconds. */
    private static final long FIRST_RETRY_DELAY_NANOSECONDS = 50_000_000L;

    /** The delay before the retry after each further consecutive failure, in nanoseconds. */
    public static final long LATER_RETRY_DELAY_NANOSECONDS = 700_000_000L;

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

    /** The number of the last call, by which its result is recognized. */
    private long callNumber;

    /** Whether a call is in flight. At most one is. */
    private boolean inFlight;

    /** The time at which the call in flight times out, in nanoseconds. */
    private long timeoutAt;

    /** The earliest time of the next call, in nanoseconds. */
    private long nextCallAt;

    /** The number of failures since the last success. */
    private int failures;

    /**
     * Whether the next call has to list all items because the publisher no longer has the changes after the known
     * revision.
     */
    private boolean listRequired;

    /** The number of times that changes could not be had since a watch last succeeded. */
    private int unavailableChanges;

    /** Whether a listing may be out of date, which is allowed only until the first success. */
    private boolean staleAllowed = true;

    /** The time of the last success, in nanoseconds. */
    private long lastSuccessAt;

    /** Whether any call has succeeded. */
    private boolean hasSucceeded;

    /**
     * Cancels a call that has timed out and starts the next one if it is due. A gateway that knows no items, or whose
     * last call failed, reads even if this is not requested.
     *
     * @param requested returns how this gateway should read from the publisher
     * @param laterRetryDelay returns the delay before a retry after more than one failure, in nanoseconds
     * @param revision the revision up to which all items are known, zero if none are
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    public void startDueCall(
            Supplier<PublicationRead> requested,
            LongSupplier laterRetryDelay,
            long revision,
            long now,
            DecisionSink sink) {
        if (inFlight && now - timeoutAt >= 0) {
            sink.decide(new Decision.CancelPublication(callNumber));
            failCall(callNumber, false, laterRetryDelay.getAsLong(), now);
        }
        if (inFlight || now - nextCallAt < 0) {
            return;
        }
        boolean readDue = failures > 0 || revision == 0;
        PublicationRead read = readDue ? PublicationRead.WATCH : requested.get();
        if (read.equals(PublicationRead.NONE)) {
            return;
        }
        inFlight = true;
        callNumber++;
        if (revision == 0 || listRequired) {
            timeoutAt = now + LIST_TIMEOUT_NANOSECONDS;
            sink.decide(new Decision.ListPublication(callNumber, staleAllowed));
            return;
        }
        PublicationRead allowed = failures > 0 || !hasSucceeded ? PublicationRead.ONCE : read;
        int waitMilliseconds = allowed.waitMilliseconds();
        timeoutAt = now + waitMilliseconds * NANOSECONDS_PER_MILLISECOND + CALL_MARGIN_NANOSECONDS;
        sink.decide(new Decision.WatchPublication(callNumber, revision, waitMilliseconds));
    }

    /**
     * Records the success of a call. The result of a call that was cancelled is ignored.
     *
     * @param endedCall the number of the call
     * @param now the current time in nanoseconds
     * @return {@code true} if it is the call in flight, so that its result has to be applied
     */
    public boolean completeCall(long endedCall, long now) {
        if (!inFlight || endedCall != callNumber) {
            return false;
        }
        inFlight = false;
        failures = 0;
        unavailableChanges = listRequired ? unavailableChanges : 0;
        listRequired = false;
        staleAllowed = false;
        hasSucceeded = true;
        lastSuccessAt = now;
        return true;
    }

    /**
     * Records the failure of a call. The failure of a call that was cancelled is ignored. If changes cannot be had, the
     * listing that replaces them starts at once, but later if the last listing was no help either.
     *
     * @param endedCall the number of the call
     * @param forgotten whether the publisher no longer has the requested changes, which does not count as a failure
     * @param laterRetryDelay the delay before the retry unless this is the first failure, in nanoseconds
     * @param now the current time in nanoseconds
     * @return {@code true} if it was the call in flight
     */
    public boolean failCall(long endedCall, boolean forgotten, long laterRetryDelay, long now) {
        if (!inFlight || endedCall != callNumber) {
            return false;
        }
        inFlight = false;
        if (forgotten) {
            listRequired = true;
            unavailableChanges++;
            nextCallAt = unavailableChanges == 1 ? now : now + retryDelay(unavailableChanges - 1, laterRetryDelay);
            return true;
        }
        failures++;
        nextCallAt = now + retryDelay(failures, laterRetryDelay);
        return true;
    }

    /** Returns the delay after a number of consecutive failures, in nanoseconds. */
    private static long retryDelay(int consecutiveFailures, long laterRetryDelay) {
        return consecutiveFailures == 1 ? FIRST_RETRY_DELAY_NANOSECONDS : laterRetryDelay;
    }

    /**
     * Returns whether the publisher is considered reachable.
     *
     * @return {@code false} after two or more consecutive failures
     */
    public boolean publisherReachable() {
        return failures < 2;
    }

    /**
     * Returns whether the publisher answered within the longest time that a watch may take.
     *
     * @param now the current time in nanoseconds
     * @return {@code true} if a call succeeded within that time
     */
    public boolean succeededRecently(long now) {
        return hasSucceeded
                && now - lastSuccessAt
                        <= WATCH_WAIT_MILLISECONDS * NANOSECONDS_PER_MILLISECOND + CALL_MARGIN_NANOSECONDS;
    }

    /**
     * Returns the time since the publisher last answered this gateway.
     *
     * @param now the current time in nanoseconds
     * @return the time in milliseconds, negative if it has never answered
     */
    public long millisecondsSinceAnswer(long now) {
        return hasSucceeded ? (now - lastSuccessAt) / NANOSECONDS_PER_MILLISECOND : -1;
    }

    /** Returns whether a call is in flight. */
    public boolean inFlight() {
        return inFlight;
    }
}
