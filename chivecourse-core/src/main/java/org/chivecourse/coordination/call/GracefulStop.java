package org.chivecourse.coordination.call;

/**
 * The time that a stopping gateway has left for its calls.
 *
 * <p>A call that cannot be answered by a backend server within it is refused as soon as this is known, so that its
 * caller can go to another gateway. The others get their final answer a little before the connections are closed.
 */
public final class GracefulStop {

    /** The longest time before the close in which final answers are written, in nanoseconds. */
    private static final long MAXIMUM_ANSWER_MARGIN_NANOSECONDS = 100_000_000L;

    /** The part of the time until the close in which final answers are written at most. */
    private static final long ANSWER_MARGIN_DIVISOR = 20;

    /** Whether the gateway stops. */
    private boolean stopping;

    /** The time by which each call has its final answer, in nanoseconds; only while the gateway stops. */
    private long answerBy;

    /** Creates a stop that has not begun. */
    GracefulStop() {}

    /**
     * Returns the time after the begin of a stop by which each call has its final answer.
     *
     * @param closeAfterNanoseconds the time after which the connections are closed, in nanoseconds
     * @return the time in nanoseconds
     */
    public static long answerAfterNanoseconds(long closeAfterNanoseconds) {
        long margin = Math.min(MAXIMUM_ANSWER_MARGIN_NANOSECONDS, closeAfterNanoseconds / ANSWER_MARGIN_DIVISOR);
        return closeAfterNanoseconds - margin;
    }

    /**
     * Begins the stop.
     *
     * @param closeAfterNanoseconds the time after which the connections are closed, in nanoseconds
     * @param now the current time in nanoseconds
     */
    void begin(long closeAfterNanoseconds, long now) {
        stopping = true;
        answerBy = now + answerAfterNanoseconds(closeAfterNanoseconds);
    }

    /** Returns whether the gateway stops. */
    boolean stopping() {
        return stopping;
    }

    /**
     * Returns whether a call that takes a given time ends before its final answer is due.
     *
     * @param nanoseconds the time from now until its backend server has answered it, in nanoseconds
     * @param now the current time in nanoseconds
     * @return {@code true} also if the gateway does not stop
     */
    boolean leavesTimeFor(double nanoseconds, long now) {
        return !stopping || nanoseconds < answerBy - now;
    }

    /**
     * Returns whether the calls that are still open have to get their final answers.
     *
     * @param now the current time in nanoseconds
     * @return {@code true} from shortly before the close on
     */
    boolean finalAnswersDue(long now) {
        return stopping && now - answerBy >= 0;
    }
}
