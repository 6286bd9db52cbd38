package org.chivecourse.command.bench;

import java.util.Map;
import org.chivecourse.standin.load.Result;

/**
 * What one measurement of a variant found.
 *
 * @param variant the variant
 * @param round the number of the round
 * @param p50 the time that half of the answers took at most, in milliseconds
 * @param p99 the time that 99 in 100 answers took at most, in milliseconds
 * @param p999 the time that 999 in 1000 answers took at most, in milliseconds
 * @param results the number of requests by result
 * @param broken the number of broken promises
 * @param load the machine's load average after the measurement
 */
public record SliceResult(
        Variant variant,
        int round,
        double p50,
        double p99,
        double p999,
        Map<Result, Integer> results,
        int broken,
        double load) {}
