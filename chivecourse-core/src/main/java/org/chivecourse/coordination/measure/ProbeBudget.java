package org.chivecourse.coordination.measure;

import java.util.ArrayDeque;
import java.util.Deque;
import org.chivecourse.configuration.model.MeasuringBudget;

/**
 * One host's share of a service's measuring budget.
 *
 * <p>The share is the whole divided by the largest number of hosts that may probe, rounded down, so that no agreement
 * among hosts is needed for the sum to stay within the budget. A probe counts from the moment before it is sent until
 * a second after it ended, so that one which a pause of the process delays counts in the second in which it is sent. A
 * host that started sends none in its first second, since the host it replaces may have.
 */
public final class ProbeBudget {

    /** The length of the window of the budget, in nanoseconds. */
    private static final long WINDOW_NANOSECONDS = 1_000_000_000L;

    /** The number of thousandths in a whole. */
    private static final double PERMILLE = 1000;

    /** The largest number of hosts that may probe at the same time. */
    private final int hosts;

    /** The time at which this host started, in nanoseconds. */
    private final long startedAt;

    /** The ends of probes within the last second, in nanoseconds, the oldest first. */
    private final Deque<Long> endedAt = new ArrayDeque<>();

    /** The number of probes under way. */
    private int openProbes;

    /** The average time that a probe takes in a slot, in nanoseconds, zero before the first. */
    private double averageProbeNanoseconds;

    /** The number of probes sent. */
    private long sentCount;

    /**
     * Creates a budget of which nothing is spent.
     *
     * @param hosts the largest number of hosts that may probe at the same time
     * @param startedAt the time at which this host started, in nanoseconds
     */
    public ProbeBudget(int hosts, long startedAt) {
        this.hosts = hosts;
        this.startedAt = startedAt;
    }

    /**
     * Returns the number of probes that this host may send in any second.
     *
     * @param budget the budget of the service
     * @param slots the number of slots of the service's backend servers
     * @return the number of probes
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
     * Spends a probe if the budget allows one now.
     *
     * @param budget the budget of the service
     * @param slots the number of slots of the service's backend servers
     * @param now the time in nanoseconds
     * @return {@code true} if a probe may be sent at once
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
     * @param budget the budget of the service
     * @param slots the number of slots of the service's backend servers
     * @param now the time in nanoseconds
     * @return {@code true} if a probe could be spent
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
     * @param now the time in nanoseconds
     * @param nanoseconds the time that it took, zero if it failed
     */
    public void recordEnd(long now, long nanoseconds) {
        openProbes--;
        endedAt.addLast(now);
        if (nanoseconds > 0) {
            averageProbeNanoseconds += (nanoseconds - averageProbeNanoseconds) / (averageProbeNanoseconds == 0 ? 1 : 5);
        }
    }

    /**
     * Returns the number of probes sent.
     *
     * @return the number of probes
     */
    public long sentCount() {
        return sentCount;
    }
}
