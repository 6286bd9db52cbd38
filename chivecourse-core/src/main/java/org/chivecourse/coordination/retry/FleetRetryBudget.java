package org.chivecourse.coordination.retry;

import java.util.function.IntSupplier;
import org.chivecourse.coordination.host.FleetSettings.RetryLimits;

/**
 * One host's part of a bound on repeats that holds over all hosts together within a sliding window.
 *
 * <p>The part that grows with requests is each host's own; the rest is divided by the largest number of hosts that may
 * run, so that no agreement is needed. A repeat counts a little longer than the window, since it arrives later than it
 * was decided.
 */
public final class FleetRetryBudget implements RepeatBudget {

    /** The number of parts that the window is counted in. */
    private static final int WINDOW_PARTS = 100;

    /** The number of further parts for which a repeat counts. */
    private static final int EXTRA_PARTS = 10;

    /** The part of the bound that is used, since hosts disagree for a moment on their number. */
    private static final double USED_SHARE = 0.85;

    /** The least number of hosts that the bound is divided by. */
    private static final int MINIMUM_HOSTS = 6;

    /** The bound over all hosts. */
    private final RetryLimits limits;

    /** The number of hosts. */
    private final IntSupplier hostCount;

    /** The length of a part in nanoseconds. */
    private final long partNanoseconds;

    /** The arrivals by part, in a ring. */
    private final int[] arrivals = new int[WINDOW_PARTS + EXTRA_PARTS];

    /** The repeats by part, in a ring. */
    private final int[] retries = new int[WINDOW_PARTS + EXTRA_PARTS];

    /** The number of the present part. */
    private long currentPart = Long.MIN_VALUE;

    /**
     * Creates a budget of which nothing is spent.
     *
     * @param limits the bound over all hosts
     * @param hostCount the number of hosts
     */
    public FleetRetryBudget(RetryLimits limits, IntSupplier hostCount) {
        this.limits = limits;
        this.hostCount = hostCount;
        partNanoseconds = limits.windowNanoseconds() / WINDOW_PARTS;
    }

    /**
     * Empties the parts that time has passed over.
     *
     * @param now the time in nanoseconds
     * @return the place of the present part
     */
    private int advance(long now) {
        long current = Math.floorDiv(now, partNanoseconds);
        long first = currentPart == Long.MIN_VALUE ? current - arrivals.length + 1 : currentPart + 1;
        for (long passed = Math.max(first, current - arrivals.length + 1); passed <= current; passed++) {
            int index = Math.floorMod(passed, arrivals.length);
            arrivals[index] = 0;
            retries[index] = 0;
        }
        currentPart = Math.max(currentPart, current);
        return Math.floorMod(currentPart, arrivals.length);
    }

    @Override
    public void recordArrival(long now) {
        arrivals[advance(now)]++;
    }

    @Override
    public boolean spend(long now) {
        int index = advance(now);
        if (used() + 1 > allowed()) {
            return false;
        }
        retries[index]++;
        return true;
    }

    @Override
    public void refund(long now) {
        retries[advance(now)]--;
    }

    /**
     * Returns the number of repeats that count now.
     *
     * @return the number
     */
    public int used() {
        int sum = 0;
        for (int count : retries) {
            sum += count;
        }
        return sum;
    }

    /**
     * Returns the number of repeats that this host may have within the window.
     *
     * @return the number
     */
    public double allowed() {
        int sum = 0;
        for (int age = 0; age < WINDOW_PARTS; age++) {
            sum += arrivals[Math.floorMod(currentPart - age, arrivals.length)];
        }
        double slack = (double) limits.slack() / Math.max(MINIMUM_HOSTS, hostCount.getAsInt());
        return USED_SHARE * (limits.share() * sum + slack);
    }
}
