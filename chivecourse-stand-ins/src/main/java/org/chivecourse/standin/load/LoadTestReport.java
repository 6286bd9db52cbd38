package org.chivecourse.standin.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToIntFunction;
import org.HdrHistogram.ConcurrentHistogram;

/** Collects the results and the latencies of the requests of a load run. */
public final class LoadTestReport {

    /** The maximum latency that histograms record; longer ones are recorded as this value. */
    private static final long MAXIMUM_LATENCY_MICROSECONDS = 120_000_000;

    /** The number of significant decimal digits of recorded latencies. */
    private static final int SIGNIFICANT_DIGITS = 3;

    /**
     * The latencies of answered requests in microseconds, each from the request's planned start to the end of its
     * answer.
     */
    private final ConcurrentHistogram latencies =
            new ConcurrentHistogram(MAXIMUM_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS);

    /** The latencies of answered requests by target, in microseconds. */
    private final Map<String, ConcurrentHistogram> latenciesByTarget = new ConcurrentHashMap<>();

    /** The results by request identifier. */
    private final Map<String, Result> results = new ConcurrentHashMap<>();

    /** The identifiers of non-idempotent requests. */
    private final Set<String> nonIdempotentRequests = ConcurrentHashMap.newKeySet();

    /**
     * Records the result of a request. Its latency is recorded only if the request was answered.
     *
     * @param target the address that the request was sent to
     * @param request the identifier of the request
     * @param write whether the request is not idempotent
     * @param result how the request ended
     * @param microseconds the time since the planned start of the request
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

    /** Returns the number of requests by result; results that did not occur are absent. */
    public Map<Result, Integer> resultCounts() {
        Map<Result, Integer> counts = new EnumMap<>(Result.class);
        results.values().forEach(result -> counts.merge(result, 1, Integer::sum));
        return counts;
    }

    /** Returns the latencies of answered requests in microseconds. */
    public ConcurrentHistogram latencies() {
        return latencies;
    }

    /** Returns the latencies of answered requests by target, in microseconds; targets without answers are absent. */
    public Map<String, ConcurrentHistogram> latenciesByTarget() {
        return Map.copyOf(latenciesByTarget);
    }

    /** Discards the latencies recorded so far and keeps the results. */
    public void resetLatencies() {
        latencies.reset();
        latenciesByTarget.values().forEach(ConcurrentHistogram::reset);
    }

    /**
     * Returns the guarantees that requests violated: wrong answers, requests that were run though they were reported as
     * not run, answers to requests that never ran, and duplicate runs of non-idempotent requests.
     *
     * @param runCounter returns how many times a request was run, over all backend servers
     * @return a line for each violation, sorted
     */
    public Set<String> violations(ToIntFunction<String> runCounter) {
        Set<String> violations = new TreeSet<>();
        results.forEach((request, result) -> {
            int count = runCounter.applyAsInt(request);
            if (result == Result.WRONG) {
                violations.add(request + ": wrong answer");
            }
            if (result == Result.NOT_RUN && count > 0) {
                violations.add(request + ": reported as not run, ran " + count + " times");
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
