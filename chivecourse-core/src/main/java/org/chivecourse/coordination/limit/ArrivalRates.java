package org.chivecourse.coordination.limit;

import java.util.Map;
import java.util.TreeMap;
import org.chivecourse.coordination.choice.SendRate;

/** The recent rates at which requests of a service arrive at this host, by rank. */
public final class ArrivalRates {

    /** The maximum number of ranks with a rate of their own. Bounds the memory used. */
    private static final int MAXIMUM_RANKS = 100;

    /** The rates by rank. */
    private final TreeMap<Integer, SendRate> byRank = new TreeMap<>();

    /** Records that a request arrives now. */
    public void recordArrival(int rank, long now) {
        if (byRank.size() < MAXIMUM_RANKS || byRank.containsKey(rank)) {
            byRank.computeIfAbsent(rank, key -> new SendRate()).recordRequest(now);
        }
    }

    /** Returns the rate of the requests that go ahead of a rank, per nanosecond. */
    public double aheadOf(int rank, long now) {
        double sum = 0;
        for (Map.Entry<Integer, SendRate> entry : byRank.headMap(rank).entrySet()) {
            sum += entry.getValue().perNanosecond(now);
        }
        return sum;
    }
}
