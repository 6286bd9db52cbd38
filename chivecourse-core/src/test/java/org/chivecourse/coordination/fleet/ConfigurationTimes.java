package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Records when each simulated gateway came to use each revision of the configuration. */
final class ConfigurationTimes {

    private final Map<String, TreeMap<Long, Long>> times = new HashMap<>();

    /** Records the revision that a gateway uses at a time. */
    void record(String host, long revision, long now) {
        times.computeIfAbsent(host, key -> new TreeMap<>()).putIfAbsent(revision, now);
    }

    /** Returns the time at which a gateway came to use a revision or a higher one, or the distant future. */
    long usedAt(String host, long revision) {
        Map.Entry<Long, Long> used = times.getOrDefault(host, new TreeMap<>()).ceilingEntry(revision);
        return used == null ? Long.MAX_VALUE : used.getValue();
    }

    /** Returns the times at which gateways came to use a revision, in ascending order. */
    List<Long> usedAt(Iterable<String> hosts, long revision) {
        List<Long> sorted = new ArrayList<>();
        hosts.forEach(host -> sorted.add(usedAt(host, revision)));
        Collections.sort(sorted);
        return sorted;
    }
}
