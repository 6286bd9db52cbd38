package org.chivecourse.command.bench;

import java.util.Map;
import org.chivecourse.standin.load.Result;

/**
 * What one measurement of a variant found.
 *
 * @param variant the variant
 * @param round the number of the round
 * @param p50Milliseconds the time that half of the answers took at most, in milliseconds
 * @param p99Milliseconds the time that 99 in 100 answers took at most, in milliseconds
 * @param p999Milliseconds the time that 999 in 1000 answers took at most, in milliseconds
 * @param results the number of requests by result
 * @param violations the number of broken promises
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
