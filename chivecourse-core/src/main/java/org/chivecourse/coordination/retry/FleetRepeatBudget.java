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
public final class FleetRepeatBudget implements RepeatBudget {

    /** The number of parts that the window is counted in. */
    private static final int PARTS = 100;

    /** The number of further parts for which a repeat counts. */
    private static final int LATE_PARTS = 10;

    /** The part of the bound that is used, since hosts disagree for a moment on their number. */
    private static final double USED_SHARE = 0.85;

    /** The least number of hosts that the bound is divided by. */
    private static final int LEAST_HOSTS = 6;

    /** The bound over all hosts. */
    private final RetryLimits limits;

    /** The number of hosts. */
    private final IntSupplier hosts;

    /** The length of a part in nanoseconds. */
    private final long partNanoseconds;

    /** The arrivals by part, in a ring. */
    private final int[] arrivals = new int[PARTS + LATE_PARTS];

    /** The repeats by part, in a ring. */
    private final int[] repeats = new int[PARTS + LATE_PARTS];

    /** The number of the present part. */
    private long part = Long.MIN_VALUE;

    /**
     * Creates a budget of which nothing is spent.
     *
     * @param limits the bound over all hosts
     * @param hosts the number of hosts
     */
    public FleetRepeatBudget(RetryLimits limits, IntSupplier hosts) {
        this.limits = limits;
        this.hosts = hosts;
        partNanoseconds = limits.windowNanoseconds() / PARTS;
    }

    /**
     * Empties the parts that time has passed over.
     *
     * @param now the time in nanoseconds
     * @return the place of the present part
     */
    private int advance(long now) {
        long present = Math.floorDiv(now, partNanoseconds);
        long first = part == Long.MIN_VALUE ? present - arrivals.length + 1 : part + 1;
        for (long passed = Math.max(first, present - arrivals.length + 1); passed <= present; passed++) {
            int place = Math.floorMod(passed, arrivals.length);
            arrivals[place] = 0;
            repeats[place] = 0;
        }
        part = Math.max(part, present);
        return Math.floorMod(part, arrivals.length);
    }

    @Override
    public void arrived(long now) {
        arrivals[advance(now)]++;
    }

    @Override
    public boolean spend(long now) {
        int place = advance(now);
        if (used() + 1 > allowed()) {
            return false;
        }
        repeats[place]++;
        return true;
    }

    @Override
    public void refund(long now) {
        repeats[advance(now)]--;
    }

    /**
     * Returns the number of repeats that count now.
     *
     * @return the number
     */
    public int used() {
        int sum = 0;
        for (int count : repeats) {
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
        for (int age = 0; age < PARTS; age++) {
            sum += arrivals[Math.floorMod(part - age, arrivals.length)];
        }
        double slack = (double) limits.slack() / Math.max(LEAST_HOSTS, hosts.getAsInt());
        return USED_SHARE * (limits.share() * sum + slack);
    }
}
