package org.chivecourse.coordination.poison;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The times at which this host last got a good answer to each request, for as long as an end may become known late. */
final class RecentAnswers {

    /** The time for which an answer is remembered, in nanoseconds. */
    private static final long LIFETIME_NANOSECONDS = 10_000_000_000L;

    /** The maximum number of requests whose answer is remembered, the latest ones. Bounds the memory used. */
    private static final int MAXIMUM_REQUESTS = 5_000;

    /** The times in nanoseconds by the fingerprint of the request, the earliest first. */
    private final Map<Long, Long> answeredAt = new LinkedHashMap<>();

    /** Records an answer that this host has just got. */
    void record(long fingerprint, long now) {
        answeredAt.remove(fingerprint);
        answeredAt.put(fingerprint, now);
        Iterator<Long> times = answeredAt.values().iterator();
        while (now - times.next() >= LIFETIME_NANOSECONDS || answeredAt.size() > MAXIMUM_REQUESTS) {
            times.remove();
        }
    }

    /** Returns the time of the last answer to a request, or a default if none is remembered. */
    long latest(long fingerprint, long defaultTime) {
        return answeredAt.getOrDefault(fingerprint, defaultTime);
    }
}
