package org.chivecourse.coordination.retry;

import java.util.function.IntSupplier;
import org.chivecourse.coordination.host.FleetSettings.RetryLimits;

/**
 * One host's share of a bound on retries and hedges that holds over all hosts together within a sliding window.
 *
 * <p>Each host may use the part of the bound that grows with its own requests. The constant part is divided by the
 * maximum number of hosts that may run, so that the hosts need not agree. A retry counts for a little longer than the
 * window, since it arrives later than it was decided.
 */
public final class FleetRetryBudget implements RetryBudget {

    /** The number of parts into which the window is divided for counting. */
    private static final int WINDOW_PARTS = 100;

    /** The number of parts beyond the window for which a retry still counts. */
    private static final int EXTRA_PARTS = 10;

    /** The share of the bound that is used. The rest covers the moments in which hosts disagree on their number. */
    private static final double USED_SHARE = 0.85;

    /** The minimum number of hosts by which the constant part of the bound is divided. */
    private static final int MINIMUM_HOSTS = 6;

    /** The bound over all hosts. */
    private final RetryLimits limits;

    /** Supplies the number of hosts. */
    private final IntSupplier hostCount;

    /** The length of a part in nanoseconds. */
    private final long partNanoseconds;

    /** The number of arrivals by part, as a ring buffer. */
    private final int[] arrivals = new int[WINDOW_PARTS + EXTRA_PARTS];

    /** The number of retries and hedges by part, as a ring buffer. */
    private final int[] retries = new int[WINDOW_PARTS + EXTRA_PARTS];

    /** The number of the current part since time zero, {@link Long#MIN_VALUE} before first use. */
    private long currentPart = Long.MIN_VALUE;

    /** Creates an unused budget. */
    public FleetRetryBudget(RetryLimits limits, IntSupplier hostCount) {
        this.limits = limits;
        this.hostCount = hostCount;
        partNanoseconds = limits.windowNanoseconds() / WINDOW_PARTS;
    }

    /** Clears the parts that have begun since the last call and returns the index of the current part. */
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

    /** Returns the number of retries that count against the budget now. */
    public int used() {
        int sum = 0;
        for (int count : retries) {
            sum += count;
        }
        return sum;
    }

    /** Returns the number of retries that this host may have within the window. */
    public double allowed() {
        int sum = 0;
        for (int age = 0; age < WINDOW_PARTS; age++) {
            sum += arrivals[Math.floorMod(currentPart - age, arrivals.length)];
        }
        double slack = (double) limits.slack() / Math.max(MINIMUM_HOSTS, hostCount.getAsInt());
        return USED_SHARE * (limits.share() * sum + slack);
    }
}
