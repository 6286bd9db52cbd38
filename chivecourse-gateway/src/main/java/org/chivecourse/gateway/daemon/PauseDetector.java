package org.chivecourse.gateway.daemon;

import java.time.Clock;
import java.util.concurrent.TimeUnit;

/**
 * Notices that the process did not run for a while.
 *
 * <p>A frozen process sees its monotonic clock jump. On a suspended machine that clock stands still, and only the time
 * of day shows the pause; it may also jump for other reasons, so that a jump is taken as a reason to look again and
 * never as a measure of time.
 */
final class PauseDetector {

    /** The time beyond that between two ticks from which on the process counts as paused, in nanoseconds. */
    private static final long MINIMUM_PAUSE_NANOSECONDS = 400_000_000L;

    /** Tells the time of day. */
    private final Clock clock;

    /** The monotonic time of the last tick, in nanoseconds. */
    private long lastTickNanoseconds;

    /** The time of day of the last tick, in milliseconds. */
    private long lastTimeOfDayMilliseconds;

    /**
     * Creates a notice.
     *
     * @param clock tells the time of day
     * @param now the monotonic time in nanoseconds
     */
    PauseDetector(Clock clock, long now) {
        this.clock = clock;
        lastTickNanoseconds = now;
        lastTimeOfDayMilliseconds = clock.millis();
    }

    /**
     * Notes a tick.
     *
     * @param now the monotonic time in nanoseconds
     * @return the time for which the process did not run, in nanoseconds, zero if it ran
     */
    long recordTick(long now) {
        long timeOfDay = clock.millis();
        long elapsedByMonotonicClock = now - lastTickNanoseconds;
        long elapsedByTimeOfDay = TimeUnit.MILLISECONDS.toNanos(timeOfDay - lastTimeOfDayMilliseconds);
        lastTickNanoseconds = now;
        lastTimeOfDayMilliseconds = timeOfDay;
        long longest = Math.max(elapsedByMonotonicClock, elapsedByTimeOfDay);
        return longest >= MINIMUM_PAUSE_NANOSECONDS ? longest : 0;
    }
}
