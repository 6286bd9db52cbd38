package org.chivecourse.standin.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToIntFunction;
import org.HdrHistogram.ConcurrentHistogram;

/** What a run of load found. */
public final class LoadReportOfRun {

    /** The largest time that is told apart, in microseconds. */
    private static final long LARGEST_MICROSECONDS = 120_000_000;

    /** The number of significant digits of times. */
    private static final int DIGITS = 3;

    /** The times from the planned start of a request to the end of its answer, in microseconds. */
    private final ConcurrentHistogram times = new ConcurrentHistogram(LARGEST_MICROSECONDS, DIGITS);

    /** The times of answered requests by target, in microseconds. */
    private final Map<String, ConcurrentHistogram> timesByTarget = new ConcurrentHashMap<>();

    /** The results of requests by identifier. */
    private final Map<String, Result> results = new ConcurrentHashMap<>();

    /** The identifiers of non-idempotent requests. */
    private final Set<String> writes = ConcurrentHashMap.newKeySet();

    /**
     * Records a result.
     *
     * @param target the target
     * @param request the identifier of the request
     * @param write whether the request is not idempotent
     * @param result how it ended
     * @param microseconds the time since its planned start
     */
    void record(String target, String request, boolean write, Result result, long microseconds) {
        results.put(request, result);
        if (write) {
            writes.add(request);
        }
        if (result == Result.ANSWERED) {
            long bounded = Math.min(microseconds, LARGEST_MICROSECONDS);
            times.recordValue(bounded);
            timesByTarget
                    .computeIfAbsent(target, key -> new ConcurrentHistogram(LARGEST_MICROSECONDS, DIGITS))
                    .recordValue(bounded);
        }
    }

    /**
     * Returns the number of requests by result.
     *
     * @return the numbers
     */
    public Map<Result, Integer> counts() {
        Map<Result, Integer> counts = new EnumMap<>(Result.class);
        results.values().forEach(result -> counts.merge(result, 1, Integer::sum));
        return counts;
    }

    /**
     * Returns the times of answered requests.
     *
     * @return the times in microseconds
     */
    public ConcurrentHistogram times() {
        return times;
    }

    /**
     * Returns the times of answered requests by target.
     *
     * @return the times in microseconds
     */
    public Map<String, ConcurrentHistogram> timesByTarget() {
        return Map.copyOf(timesByTarget);
    }

    /**
     * Forgets the times so far.
     */
    public void forgetTimes() {
        times.reset();
        timesByTarget.values().forEach(ConcurrentHistogram::reset);
    }

    /**
     * Returns the requests that broke a promise.
     *
     * @param runs returns how often a request ran, over all backend servers
     * @return a line for each broken promise
     */
    public Set<String> broken(ToIntFunction<String> runs) {
        Set<String> lines = new TreeSet<>();
        results.forEach((request, result) -> {
            int count = runs.applyAsInt(request);
            if (result == Result.WRONG) {
                lines.add(request + ": wrong answer");
            }
            if (result == Result.NOT_RUN && count > 0) {
                lines.add(request + ": told not run, ran " + count + " times");
            }
            if (result == Result.ANSWERED && count == 0) {
                lines.add(request + ": answered, never ran");
            }
            if (writes.contains(request) && count > 1) {
                lines.add(request + ": not idempotent, ran " + count + " times");
            }
        });
        return lines;
    }
}
