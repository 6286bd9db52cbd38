package org.chivecourse.gateway.daemon;

import java.time.Clock;
import java.util.concurrent.TimeUnit;

/**
 * Detects periods in which the process was not scheduled.
 *
 * <p>While a process is frozen, its monotonic clock continues. On a suspended machine that clock stops, and only the
 * time of day shows the pause. The time of day may also jump for other reasons, so the decision core refreshes its
 * state after a pause but does not use the detected length.
 */
final class PauseDetector {

    /** The minimum time between two ticks for which the process counts as paused, in nanoseconds. */
    private static final long MINIMUM_PAUSE_NANOSECONDS = 400_000_000L;

    /** Supplies the time of day. */
    private final Clock clock;

    /** The monotonic time of the last tick, in nanoseconds. */
    private long lastTickNanoseconds;

    /** The time of day of the last tick, in milliseconds since the epoch. */
    private long lastTimeOfDayMilliseconds;

    /**
     * Creates a detector. Its first interval starts now.
     *
     * @param clock supplies the time of day
     * @param now the monotonic time in nanoseconds
     */
    PauseDetector(Clock clock, long now) {
        this.clock = clock;
        lastTickNanoseconds = now;
        lastTimeOfDayMilliseconds = clock.millis();
    }

    /**
     * Records a tick.
     *
     * @param now the monotonic time in nanoseconds
     * @return the length of the pause before this tick in nanoseconds, zero if the process was not paused
     */
    long recordTick(long now) {
        long timeOfDay = clock.millis();
        long elapsedByMonotonicClock = now - lastTickNanoseconds;
        long elapsedByTimeOfDay = TimeUnit.MILLISECONDS.toNanos(timeOfDay - lastTimeOfDayMilliseconds);
        lastTickNanoseconds = now;
        lastTimeOfDayMilliseconds = timeOfDay;
        long longestElapsed = Math.max(elapsedByMonotonicClock, elapsedByTimeOfDay);
        return longestElapsed >= MINIMUM_PAUSE_NANOSECONDS ? longestElapsed : 0;
    }
}
