package org.chivecourse.coordination.retry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivecourse.coordination.host.FleetSettings.RetryLimits;
import org.junit.jupiter.api.Test;

/**
 * Guards against hosts that together send more retries than the bound allows. Each host counts only its own requests
 * and retries.
 */
class FleetRetryBudgetTest {

    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

    private static final int HOSTS = 13;

    private static final RetryLimits LIMITS = new RetryLimits(0.2, 56, 10 * NANOSECONDS_PER_SECOND);

    @Test
    void allowsOnlyTheSlackShareWithoutRequests() {
        FleetRetryBudget budget = new FleetRetryBudget(LIMITS, () -> HOSTS);
        int spent = 0;
        while (budget.spend(NANOSECONDS_PER_SECOND)) {
            spent++;
        }
        assertThat(spent, lessThanOrEqualTo(56 / HOSTS));
        assertThat(spent, greaterThan(0));
    }

    @Test
    void refundedRetryNoLongerCounts() {
        FleetRetryBudget budget = new FleetRetryBudget(LIMITS, () -> HOSTS);
        budget.spend(NANOSECONDS_PER_SECOND);
        budget.refund(NANOSECONDS_PER_SECOND);
        assertThat(budget.used(), equalTo(0));
    }

    /** Requests and retries are spread at random over the hosts, and every window that ends with a retry is checked. */
    @Property(tries = 60)
    void hostsTogetherStayWithinBoundInEveryWindow(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<FleetRetryBudget> budgets = new ArrayList<>();
        for (int host = 0; host < HOSTS; host++) {
            budgets.add(new FleetRetryBudget(LIMITS, () -> HOSTS));
        }
        List<Long> arrivals = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        long now = 0;
        for (int step = 0; step < 6000; step++) {
            now += random.nextLong(1, 12_000_000);
            FleetRetryBudget budget = budgets.get(random.nextInt(HOSTS));
            if (random.nextInt(3) == 0) {
                budget.recordArrival(now);
                arrivals.add(now);
            } else if (budget.spend(now)) {
                retries.add(now);
            }
        }
        for (long retry : retries) {
            long used = count(retries, retry - 10 * NANOSECONDS_PER_SECOND, retry);
            double allowed = 0.2 * count(arrivals, retry - 10 * NANOSECONDS_PER_SECOND, retry) + 56;
            assertThat((double) used, lessThanOrEqualTo(allowed));
        }
    }

    private static long count(List<Long> times, long after, long until) {
        return times.stream().filter(time -> time > after && time <= until).count();
    }
}
