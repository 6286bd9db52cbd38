package org.chivecourse.standin.backend;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Counts how many times each request was run, so that lost and duplicate runs can be detected. */
public final class RunCounts {

    /** The number of runs by request identifier. */
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();

    /**
     * Records a run of a request.
     *
     * @param request the identifier of the request
     */
    public void recordRun(String request) {
        runs.merge(request, 1, Integer::sum);
    }

    /**
     * Returns how many times a request was run, zero if it never ran.
     *
     * @param request the identifier of the request
     */
    public int runCount(String request) {
        return runs.getOrDefault(request, 0);
    }

    /** Formats the counts as lines of a request identifier, a space and the number of runs, sorted by identifier. */
    public String format() {
        StringBuilder text = new StringBuilder();
        new TreeMap<>(runs)
                .forEach((request, count) ->
                        text.append(request).append(' ').append(count).append('\n'));
        return text.toString();
    }
}
