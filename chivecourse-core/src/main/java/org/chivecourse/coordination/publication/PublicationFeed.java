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
public final class PublicationFeed {

    /** The time for which a call waits for changes, in milliseconds. */
    static final int WAIT_MILLISECONDS = 3000;

    /** The time that a call may take beyond its wait, in nanoseconds. */
    static final long CALL_NANOSECONDS = 600_000_000L;

    /** The time for which a full read may take, in nanoseconds. */
    static final long LIST_NANOSECONDS = 1_500_000_000L;

    /** The pause after a first failure, in nanoseconds. */
    private static final long SHORT_PAUSE_NANOSECONDS = 50_000_000L;

    /** The pause after further failures, in nanoseconds. */
    private static final long LONG_PAUSE_NANOSECONDS = 700_000_000L;

    /** The number of nanoseconds in a millisecond. */
    private static final long MILLISECOND = 1_000_000L;

    /** The number of the last call. */
    private long call;

    /** Whether a call is under way. */
    private boolean open;

    /** The time at which the call under way is given up, in nanoseconds. */
    private long openUntil;

    /** The time before which no call starts, in nanoseconds. */
    private long pausedUntil;

    /** The number of failures since the last success. */
    private int failures;

    /** Whether the whole has to be read, since changes were forgotten. */
    private boolean listing;

    /** Whether a read of the whole may be out of date. */
    private boolean staleAllowed = true;

    /** The time of the last success, in nanoseconds. */
    private long succeededAt;

    /** Whether there was a success. */
    private boolean succeeded;

    /**
     * Starts the call that is due and gives up one that takes too long.
     *
     * @param wanted returns whether this gateway should read from the publisher
     * @param revision the revision up to which everything is known, zero if nothing is
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void timePassed(BooleanSupplier wanted, long revision, long now, DecisionSink sink) {
        if (open && now - openUntil >= 0) {
            sink.decide(new Decision.CancelPublication(call));
            failed(call, false, now);
        }
        if (open || now - pausedUntil < 0) {
            return;
        }
        boolean wants = failures > 0 || revision == 0 || wanted.getAsBoolean();
        if (!wants) {
            return;
        }
        open = true;
        call++;
        if (revision == 0 || listing) {
            openUntil = now + LIST_NANOSECONDS;
            sink.decide(new Decision.ListPublication(call, staleAllowed));
            return;
        }
        int wait = failures > 0 || !succeeded ? 1 : WAIT_MILLISECONDS;
        openUntil = now + wait * MILLISECOND + CALL_NANOSECONDS;
        sink.decide(new Decision.WatchPublication(call, revision, wait));
    }

    /**
     * Takes the end of a call.
     *
     * @param ended the number of the call
     * @param now the time in nanoseconds
     * @return {@code true} if its answer is to be used
     */
    public boolean answered(long ended, long now) {
        if (!open || ended != call) {
            return false;
        }
        open = false;
        failures = 0;
        listing = false;
        staleAllowed = false;
        succeeded = true;
        succeededAt = now;
        return true;
    }

    /**
     * Takes the failure of a call.
     *
     * @param ended the number of the call
     * @param forgotten whether the publisher has forgotten the changes that were asked for
     * @param now the time in nanoseconds
     * @return {@code true} if it was the call under way
     */
    public boolean failed(long ended, boolean forgotten, long now) {
        if (!open || ended != call) {
            return false;
        }
        open = false;
        if (forgotten) {
            listing = true;
            return true;
        }
        failures++;
        pausedUntil = now + (failures == 1 ? SHORT_PAUSE_NANOSECONDS : LONG_PAUSE_NANOSECONDS);
        return true;
    }

    /**
     * Returns whether the publisher answers, as far as is known.
     *
     * @return {@code true} unless the last calls failed
     */
    public boolean reached() {
        return failures < 2;
    }

    /**
     * Returns whether the publisher answered recently.
     *
     * @param now the time in nanoseconds
     * @return {@code true} if a call succeeded within the time that calls take
     */
    public boolean answeredRecently(long now) {
        return succeeded && now - succeededAt <= WAIT_MILLISECONDS * MILLISECOND + CALL_NANOSECONDS;
    }

    /**
     * Returns the time since the publisher last answered.
     *
     * @param now the time in nanoseconds
     * @return the time in milliseconds, negative if it never has
     */
    public long answeredMilliseconds(long now) {
        return succeeded ? (now - succeededAt) / MILLISECOND : -1;
    }

    /**
     * Returns whether a call is under way.
     *
     * @return {@code true} if the publisher is being read
     */
    public boolean reading() {
        return open;
    }
}
