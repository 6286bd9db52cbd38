package org.chivecourse.coordination.reservation;

import java.util.EnumMap;
import java.util.Map;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.reservation.NoAllocator;
import org.chivecourse.state.reservation.SlotWay;

/** Counts what becomes of calls by the way in which they came to their slots, and how long replies about slots take. */
public final class SlotStatistics {

    /** The upper bounds of the counted reply times, in milliseconds; longer ones are counted together. */
    private static final long[] REPLY_BOUNDS_MILLISECONDS = {5, 10, 20, 40, 80, 160, 320};

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

    /** The results of calls, by the way in which they came to their slots. */
    private final Map<SlotWay, Map<Result, Long>> results = new EnumMap<>(SlotWay.class);

    /** The number of times that no allocator was asked, or one was passed over, by the reason. */
    private final Map<NoAllocator, Long> passedOver = new EnumMap<>(NoAllocator.class);

    /** The number of replies by time; the last one counts those beyond all bounds. */
    private final long[] replies = new long[REPLY_BOUNDS_MILLISECONDS.length + 1];

    /** Creates statistics without calls. */
    public SlotStatistics() {
        for (SlotWay way : SlotWay.values()) {
            results.put(way, new EnumMap<>(Result.class));
        }
    }

    /** Records that a call gets an answer now. Only calls with a target latency are counted. */
    public void recordAnswer(CallState call, long now) {
        boolean late = now - call.terms().firstSentAt() > call.terms().targetLatencyNanoseconds();
        record(call, late ? Result.LATE : Result.IN_TIME);
    }

    /** Records that a call is refused. */
    public void recordRefusal(CallState call) {
        record(call, Result.REFUSED);
    }

    /** Records the result of a call. */
    private void record(CallState call, Result result) {
        if (!call.terms().route().isEmpty()) {
            results.get(call.slotWay()).merge(result, 1L, Long::sum);
        }
    }

    /** Records that no allocator is asked, or that one is passed over. */
    void recordPassedOver(NoAllocator reason) {
        passedOver.merge(reason, 1L, Long::sum);
    }

    /** Records the time from a request to its first reply. */
    void recordReply(long nanoseconds) {
        int bucket = 0;
        while (bucket < REPLY_BOUNDS_MILLISECONDS.length
                && nanoseconds > REPLY_BOUNDS_MILLISECONDS[bucket] * NANOSECONDS_PER_MILLISECOND) {
            bucket++;
        }
        replies[bucket]++;
    }

    /** Returns the number of calls that came to their slots in a way and had a result. */
    public long calls(SlotWay way, Result result) {
        return results.get(way).getOrDefault(result, 0L);
    }

    /** Returns the number of times that no allocator was asked, or one was passed over, for a reason. */
    public long passedOver(NoAllocator reason) {
        return passedOver.getOrDefault(reason, 0L);
    }

    /** Returns the number of bounds of reply times, beyond which replies are counted together. */
    public static int replyBounds() {
        return REPLY_BOUNDS_MILLISECONDS.length;
    }

    /** Returns the label of a range of reply times: its upper bound in milliseconds, or that it has none. */
    public static String replyLabel(int range) {
        return range < REPLY_BOUNDS_MILLISECONDS.length
                ? "within-" + REPLY_BOUNDS_MILLISECONDS[range] + "-milliseconds"
                : "later";
    }

    /** Returns the number of replies in a range of reply times. */
    public long replies(int range) {
        return replies[range];
    }

    /** What became of a call, from the caller's view. */
    public enum Result {
        /** It was answered within its target latency. */
        IN_TIME,

        /** It was answered later. */
        LATE,

        /** It was refused, also after its deadline. */
        REFUSED
    }
}
