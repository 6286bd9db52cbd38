package org.chivecourse.standin.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToIntFunction;
import org.HdrHistogram.ConcurrentHistogram;

/** What a run of load found. */
public final class LoadTestReport {

    /** The largest time that is told apart, in microseconds. */
    private static final long MAXIMUM_LATENCY_MICROSECONDS = 120_000_000;

    /** The number of significant digits of times. */
    private static final int SIGNIFICANT_DIGITS = 3;

    /** The times from the planned start of a request to the end of its answer, in microseconds. */
    private final ConcurrentHistogram latencies =
            new ConcurrentHistogram(MAXIMUM_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS);

    /** The times of answered requests by target, in microseconds. */
    private final Map<String, ConcurrentHistogram> latenciesByTarget = new ConcurrentHashMap<>();

    /** The results of requests by identifier. */
    private final Map<String, Result> results = new ConcurrentHashMap<>();

    /** The identifiers of non-idempotent requests. */
    private final Set<String> nonIdempotentRequests = ConcurrentHashMap.newKeySet();

    /**
     * Records a result.
     *
     * @param target the target
     * @param request the identifier of the request
     * @param write whether the request is not idempotent
     * @param result how it ended
     * @param microseconds the time since its planned start
     */
    void recordResult(String target, String request, boolean write, Result result, long microseconds) {
        results.put(request, result);
        if (write) {
            nonIdempotentRequests.add(request);
        }
        if (result == Result.ANSWERED) {
            long boundedMicroseconds = Math.min(microseconds, MAXIMUM_LATENCY_MICROSECONDS);
            latencies.recordValue(boundedMicroseconds);
            latenciesByTarget
                    .computeIfAbsent(
                            target, key -> new ConcurrentHistogram(MAXIMUM_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS))
                    .recordValue(boundedMicroseconds);
        }
    }

    /**
     * Returns the number of requests by result.
     *
     * @return the numbers
     */
    public Map<Result, Integer> resultCounts() {
        Map<Result, Integer> counts = new EnumMap<>(Result.class);
        results.values().forEach(result -> counts.merge(result, 1, Integer::sum));
        return counts;
    }

    /**
     * Returns the times of answered requests.
     *
     * @return the times in microseconds
     */
    public ConcurrentHistogram latencies() {
        return latencies;
    }

    /**
     * Returns the times of answered requests by target.
     *
     * @return the times in microseconds
     */
    public Map<String, ConcurrentHistogram> latenciesByTarget() {
        return Map.copyOf(latenciesByTarget);
    }

    /**
     * Forgets the times so far.
     */
    public void resetLatencies() {
        latencies.reset();
        latenciesByTarget.values().forEach(ConcurrentHistogram::reset);
    }

    /**
     * Returns the requests that broke a promise.
     *
     * @param runCounter returns how often a request ran, over all backend servers
     * @return a line for each broken promise
     */
    public Set<String> violations(ToIntFunction<String> runCounter) {
        Set<String> violations = new TreeSet<>();
        results.forEach((request, result) -> {
            int count = runCounter.applyAsInt(request);
            if (result == Result.WRONG) {
                violations.add(request + ": wrong answer");
            }
            if (result == Result.NOT_RUN && count > 0) {
                violations.add(request + ": told not run, ran " + count + " times");
            }
            if (result == Result.ANSWERED && count == 0) {
                violations.add(request + ": answered, never ran");
            }
            if (nonIdempotentRequests.contains(request) && count > 1) {
                violations.add(request + ": not idempotent, ran " + count + " times");
            }
        });
        return violations;
    }
}
