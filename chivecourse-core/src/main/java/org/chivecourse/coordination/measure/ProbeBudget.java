package org.chivecourse.coordination.measure;

import java.util.ArrayDeque;
import java.util.Deque;
import org.chivecourse.configuration.model.MeasuringBudget;

/**
 * One host's share of a service's probe budget.
 *
 * <p>The share is the budget divided by the maximum number of hosts that may probe, rounded down, so that the sum stays
 * within the budget without an agreement among hosts. A probe counts from before it is sent until one second after it
 * ended, so that a probe that a pause of the process delays still counts in the second in which it is sent. A host that
 * has just started sends no probe for one second, since the host that it replaces may have sent some.
 */
public final class ProbeBudget {

    /** The length of the window of the budget. */
    private static final long WINDOW_NANOSECONDS = 1_000_000_000L;

    /** The number of thousandths in a whole. */
    private static final double PERMILLE = 1000;

    /** The maximum number of hosts that may probe at the same time. */
    private final int hosts;

    /** The time at which this host started, in nanoseconds. */
    private final long startedAt;

    /** The times at which probes ended within the window, in nanoseconds, oldest first. */
    private final Deque<Long> endedAt = new ArrayDeque<>();

    /** The number of probes in progress. */
    private int openProbes;

    /** The average time that a probe occupies a slot, in nanoseconds; zero before the first probe. */
    private double averageProbeNanoseconds;

    /** The number of probes sent. */
    private long sentCount;

    /**
     * Creates an unused budget.
     *
     * @param hosts the maximum number of hosts that may probe at the same time
     * @param startedAt the time at which this host started, in nanoseconds
     */
    public ProbeBudget(int hosts, long startedAt) {
        this.hosts = hosts;
        this.startedAt = startedAt;
    }

    /**
     * Returns the number of probes that this host may send in any second, limited by rate and by the share of slot
     * time.
     *
     * @param slots the number of slots of the service's backend servers
     */
    public int probesPerSecond(MeasuringBudget budget, int slots) {
        int byRate = budget.probesPerSecond() / hosts;
        if (averageProbeNanoseconds == 0) {
            return byRate;
        }
        double slotNanoseconds = budget.slotSharePermille() / PERMILLE * slots * WINDOW_NANOSECONDS;
        int byShare = (int) (slotNanoseconds / averageProbeNanoseconds / hosts);
        return Math.min(byRate, byShare);
    }

    /**
     * Spends one probe and returns {@code true}, or returns {@code false} if the budget allows none now. The probe may
     * be sent at once.
     *
     * @param slots the number of slots of the service's backend servers
     */
    public boolean spend(MeasuringBudget budget, int slots, long now) {
        if (!allows(budget, slots, now)) {
            return false;
        }
        openProbes++;
        sentCount++;
        return true;
    }

    /**
     * Returns whether the budget allows a probe now.
     *
     * @param slots the number of slots of the service's backend servers
     */
    public boolean allows(MeasuringBudget budget, int slots, long now) {
        if (now - startedAt < WINDOW_NANOSECONDS) {
            return false;
        }
        while (!endedAt.isEmpty() && now - endedAt.peekFirst() >= WINDOW_NANOSECONDS) {
            endedAt.removeFirst();
        }
        return openProbes + endedAt.size() < probesPerSecond(budget, slots);
    }

    /**
     * Records the end of a probe.
     *
     * @param nanoseconds the time that the probe took, zero if it failed
     */
    public void recordEnd(long now, long nanoseconds) {
        openProbes--;
        endedAt.addLast(now);
        if (nanoseconds > 0) {
            averageProbeNanoseconds += (nanoseconds - averageProbeNanoseconds) / (averageProbeNanoseconds == 0 ? 1 : 5);
        }
    }

    /** Returns the number of probes sent. */
    public long sentCount() {
        return sentCount;
    }
}
