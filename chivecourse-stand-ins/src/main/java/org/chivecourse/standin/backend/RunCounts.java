package org.chivecourse.standin.backend;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The number of times that each request ran. */
public final class RunCounts {

    /** The number of runs by request. */
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();

    /**
     * Records that a request runs.
     *
     * @param request the identifier of the request
     */
    public void recordRun(String request) {
        runs.merge(request, 1, Integer::sum);
    }

    /**
     * Returns how often a request ran.
     *
     * @param request the identifier of the request
     * @return the number of runs
     */
    public int runCount(String request) {
        return runs.getOrDefault(request, 0);
    }

    /**
     * Prints the records, a request and its number of runs on each line.
     *
     * @return the text
     */
    public String format() {
        StringBuilder text = new StringBuilder();
        new TreeMap<>(runs)
                .forEach((request, count) ->
                        text.append(request).append(' ').append(count).append('\n'));
        return text.toString();
    }
}
