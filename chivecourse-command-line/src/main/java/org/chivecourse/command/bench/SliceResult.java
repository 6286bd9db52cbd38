package org.chivecourse.command.bench;

import java.util.Map;
import org.chivecourse.standin.load.Result;

/**
 * Records the result of one measurement of a variant.
 *
 * @param variant the variant
 * @param round the number of the round
 * @param p50Milliseconds the median latency of answered requests
 * @param p99Milliseconds the 99th percentile of the latencies
 * @param p999Milliseconds the 99.9th percentile of the latencies
 * @param results the number of requests by result
 * @param violations the number of violated guarantees
 * @param loadAverage the machine's load average after the measurement
 */
public record SliceResult(
        Variant variant,
        int round,
        double p50Milliseconds,
        double p99Milliseconds,
        double p999Milliseconds,
        Map<Result, Integer> results,
        int violations,
        double loadAverage) {}
