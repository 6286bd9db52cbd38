package org.chivecourse.coordination.reservation;

import java.util.HashMap;
import java.util.Map;

/**
 * The gateways that do not reply about slots. One late reply says little, several in a row that one gateway is silent,
 * and several of all gateways that this one is cut off from them.
 */
final class SilentAllocators {

    /** The number of requests in a row without a reply after which a gateway is suspected. */
    private static final int SILENCES_TO_SUSPECT = 3;

    /** The number of requests in a row to any gateway without a reply after which this one counts as cut off. */
    private static final int SILENCES_TO_BE_CUT_OFF = 6;

    /** The time for which a gateway that was not suspected before is not asked, in nanoseconds. */
    private static final long MINIMUM_SUSPICION_NANOSECONDS = 1_000_000_000L;

    /** The longest time for which a gateway is not asked, in nanoseconds. */
    private static final long MAXIMUM_SUSPICION_NANOSECONDS = 16_000_000_000L;

    /** The time between two requests while this gateway is cut off, in nanoseconds. */
    private static final long TRIAL_INTERVAL_NANOSECONDS = 200_000_000L;

    /** The gateways that did not reply to the last request, by name. */
    private final Map<String, Silence> silences = new HashMap<>();

    /** The number of requests to any gateway in a row without a reply. */
    private int unansweredCount;

    /** The time of the last request while this gateway is cut off, in nanoseconds. */
    private long triedAt;

    /** Returns whether a gateway is not asked since it did not reply several times in a row. */
    boolean suspected(String name, long now) {
        Silence silence = silences.get(name);
        return silence != null && silence.count() >= SILENCES_TO_SUSPECT && now - silence.until() < 0;
    }

    /** Records that a gateway did not reply in time, and returns whether it is suspected from now on. */
    boolean recordSilence(String name, long now) {
        unansweredCount++;
        triedAt = now;
        if (suspected(name, now)) {
            return false;
        }
        silences.values().removeIf(silence -> now - silence.until() > MAXIMUM_SUSPICION_NANOSECONDS);
        Silence silence = silences.getOrDefault(name, new Silence(0, now, MINIMUM_SUSPICION_NANOSECONDS));
        silences.put(name, silence.next(now));
        return suspected(name, now);
    }

    /** Records that a gateway replied. */
    void recordReply(String name) {
        unansweredCount = 0;
        silences.remove(name);
    }

    /** Returns whether no gateway replies, so that none is asked but for a trial now and then. */
    boolean cutOff(long now) {
        return unansweredCount >= SILENCES_TO_BE_CUT_OFF && now - triedAt < TRIAL_INTERVAL_NANOSECONDS;
    }

    /** Records that a gateway is asked. */
    void recordRequest(long now) {
        if (unansweredCount >= SILENCES_TO_BE_CUT_OFF) {
            triedAt = now;
        }
    }

    /**
     * The requests in a row that a gateway did not reply to.
     *
     * @param count their number
     * @param until the time until which it is not asked if there are enough of them, in nanoseconds
     * @param durationNanoseconds the time for which it is not asked the next time, in nanoseconds
     */
    private record Silence(int count, long until, long durationNanoseconds) {

        /** Returns the silence after one more request without a reply. */
        private Silence next(long now) {
            long following = count + 1 >= SILENCES_TO_SUSPECT
                    ? Math.min(MAXIMUM_SUSPICION_NANOSECONDS, 2 * durationNanoseconds)
                    : durationNanoseconds;
            return new Silence(count + 1, now + durationNanoseconds, following);
        }
    }
}
