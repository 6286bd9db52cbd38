package org.chivecourse.coordination.measure;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.chivecourse.configuration.model.MeasuringBudget;

/**
 * Guards against hosts that together exceed the probe budget of a service. The hosts have no knowledge of each other;
 * they restart, which clears their counts, and pause between the decision for a probe and its sending.
 */
class ProbeBudgetProperties {

    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

    private static final long NANOSECONDS_PER_SECOND = 1000 * NANOSECONDS_PER_MILLISECOND;

    private static final int SLOTS = 56;

    @Property(tries = 300, seed = "20261204")
    void hostsTogetherStayWithinBudgetInEverySecond(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 14) int hosts,
            @ForAll @IntRange(min = 0, max = 60) int probesPerSecond) {
        MeasuringBudget budget = new MeasuringBudget(probesPerSecond, 1000);
        SplittableRandom random = new SplittableRandom(seed);
        List<Long> sent = new ArrayList<>();
        for (int host = 0; host < hosts; host++) {
            sent.addAll(probeTimesOfHost(hosts, budget, random.split()));
        }
        sent.sort(null);
        for (int first = 0; first < sent.size(); first++) {
            int last = first;
            while (last < sent.size() && sent.get(last) - sent.get(first) < NANOSECONDS_PER_SECOND) {
                last++;
            }
            assertThat(last - first, lessThanOrEqualTo(probesPerSecond));
        }
    }

    /** Returns the times at which one host sends probes, over several restarts of its process and random pauses. */
    private static List<Long> probeTimesOfHost(int hosts, MeasuringBudget budget, SplittableRandom random) {
        List<Long> sent = new ArrayList<>();
        long now = random.nextLong(NANOSECONDS_PER_SECOND);
        ProbeBudget own = new ProbeBudget(hosts, now);
        List<Long> ends = new ArrayList<>();
        for (int step = 0; step < 400; step++) {
            now += random.nextLong(40 * NANOSECONDS_PER_MILLISECOND);
            if (random.nextInt(100) == 0) {
                own = new ProbeBudget(hosts, now);
                ends.clear();
            }
            while (!ends.isEmpty() && ends.get(0) <= now) {
                own.recordEnd(ends.remove(0), 6 * NANOSECONDS_PER_MILLISECOND);
            }
            if (own.spend(budget, SLOTS, now)) {
                now += random.nextInt(20) == 0 ? random.nextLong(3 * NANOSECONDS_PER_SECOND) : 0;
                sent.add(now);
                ends.add(now + random.nextLong(20 * NANOSECONDS_PER_MILLISECOND));
                ends.sort(null);
            }
        }
        return sent;
    }

    @Example
    void refusesProbesWhenShareIsBelowOne() {
        ProbeBudget own = new ProbeBudget(14, 0);
        assertThat(own.spend(new MeasuringBudget(13, 1000), SLOTS, 2 * NANOSECONDS_PER_SECOND), equalTo(false));
    }

    @Example
    void sendsTheShareOfTheHostEachSecond() {
        ProbeBudget own = new ProbeBudget(14, 0);
        int sent = 0;
        for (long now = NANOSECONDS_PER_SECOND; now < 11 * NANOSECONDS_PER_SECOND; now += NANOSECONDS_PER_MILLISECOND) {
            if (own.spend(new MeasuringBudget(20, 1000), SLOTS, now)) {
                own.recordEnd(now, 0);
                sent++;
            }
        }
        assertThat(sent, equalTo(10));
    }

    @Example
    void limitsRateByShareOfSlotTime() {
        ProbeBudget own = new ProbeBudget(1, 0);
        MeasuringBudget budget = new MeasuringBudget(1000, 5);
        own.spend(budget, SLOTS, 2 * NANOSECONDS_PER_SECOND);
        own.recordEnd(2 * NANOSECONDS_PER_SECOND, 6 * NANOSECONDS_PER_MILLISECOND);
        assertThat(own.probesPerSecond(budget, SLOTS), equalTo(46));
        assertThat(own.sentCount(), greaterThan(0L));
    }
}
