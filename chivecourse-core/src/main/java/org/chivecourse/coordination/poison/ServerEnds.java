package org.chivecourse.coordination.poison;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.chivecourse.state.fleet.Crash;

/** The ends of backend servers that coincided with requests, by which events that hit many servers are recognized. */
final class ServerEnds {

    /** The time within which ends of backend servers count as one event. */
    private static final long EVENT_NANOSECONDS = 1_000_000_000L;

    /**
     * The number of other backend servers ending in one event from which an end may have another cause than a request.
     */
    private static final int MASS_END_SERVERS = 2;

    /** The maximum number of ends that are remembered, the latest ones. Bounds the memory used. */
    private static final int MAXIMUM_ENDS = 2_000;

    /** The ends by process of the backend server, oldest first. */
    private final Map<String, End> ends = new LinkedHashMap<>();

    /** Records a crash, which adds its request to those that coincided with the end of the server. */
    void record(Crash crash) {
        ends.computeIfAbsent(crash.server(), server -> new End(server, crash.endedAt(), new HashSet<>()))
                .fingerprints()
                .add(crash.fingerprint());
        if (ends.size() > MAXIMUM_ENDS) {
            ends.remove(ends.keySet().iterator().next());
        }
    }

    /**
     * Counts the ends that coincided with a request. Those of one event count once if many other servers ended in it.
     *
     * @param endedAt the times of the ends that coincided with the request
     * @param excluded returns whether an end is no sign of another cause
     */
    int countEvents(List<Long> endedAt, Predicate<End> excluded) {
        List<Long> ordered = new ArrayList<>(endedAt);
        ordered.sort((first, second) -> Long.signum(first - second));
        int counted = 0;
        long eventStart = 0;
        boolean mass = false;
        for (long at : ordered) {
            boolean sameEvent = counted > 0 && at - eventStart < EVENT_NANOSECONDS;
            if (!sameEvent) {
                eventStart = at;
                mass = isMassEnd(eventStart, excluded);
            }
            counted += sameEvent && mass ? 0 : 1;
        }
        return counted;
    }

    /**
     * Returns whether so many backend servers ended around a time that an end may have another cause than a request.
     *
     * @param time the time in nanoseconds
     * @param excluded returns whether an end is no sign of another cause
     */
    boolean isMassEnd(long time, Predicate<End> excluded) {
        return countAround(time, excluded) >= MASS_END_SERVERS;
    }

    /** Returns the number of backend servers that ended around a time and are not excluded. */
    private int countAround(long time, Predicate<End> excluded) {
        int count = 0;
        for (End end : ends.values()) {
            boolean near = Math.abs(end.endedAt() - time) < EVENT_NANOSECONDS;
            count += near && !excluded.test(end) ? 1 : 0;
        }
        return count;
    }

    /**
     * The end of a backend server.
     *
     * @param server the process of the backend server
     * @param endedAt the time of the end in nanoseconds
     * @param fingerprints the requests that coincided with it
     */
    record End(String server, long endedAt, Set<Long> fingerprints) {}
}
