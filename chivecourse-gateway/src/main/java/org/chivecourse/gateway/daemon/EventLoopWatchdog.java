package org.chivecourse.gateway.daemon;

import java.util.function.LongSupplier;

/**
 * Notices an event loop that has died or does not return from a task. Such a process would keep its connections and
 * answer nobody.
 */
final class EventLoopWatchdog {

    /** The interval between two checks, in seconds. */
    static final long CHECK_INTERVAL_SECONDS = 1;

    /**
     * The number of checks in a row without progress after which the event loop counts as standing still. A suspended
     * or starved process makes no checks either.
     */
    private static final int MAXIMUM_IDLE_CHECKS = 10;

    /** Returns the number of tasks that the event loop has started. */
    private final LongSupplier progress;

    /** The progress at the last check, negative before the first one. */
    private long lastProgress = -1;

    /** The number of checks without progress since the last one with progress. */
    private int idleChecks;

    /**
     * Creates a watchdog.
     *
     * @param progress returns the number of tasks that the event loop has started
     */
    EventLoopWatchdog(LongSupplier progress) {
        this.progress = progress;
    }

    /**
     * Checks the event loop.
     *
     * @return {@code true} if it made no progress for several checks
     */
    boolean standsStill() {
        long current = progress.getAsLong();
        idleChecks = current == lastProgress ? idleChecks + 1 : 0;
        lastProgress = current;
        return idleChecks >= MAXIMUM_IDLE_CHECKS;
    }
}
