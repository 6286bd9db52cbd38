package org.chivecourse.command.bench;

import java.time.Duration;
import java.util.List;
import org.chivecourse.standin.deployment.ServiceShape;

/**
 * Describes the variants to compare and the conditions of the comparison.
 *
 * @param shape the service
 * @param scenario the faults that backend servers have during the measurements
 * @param variants the variants to compare, the first of which is the baseline
 * @param utilisationPercent the share of slots that the load keeps busy, in percent
 * @param gateways the number of gateways
 * @param rounds the number of measurements of each variant
 * @param sliceDuration the duration of each measurement
 * @param seed the seed of arrivals, service times and faults
 * @param zeroServiceTime whether backend servers answer without service time, to measure the latency that gateways add
 * @param probesPerSecond the measuring budget of variants that probe, negative for that of the service
 * @param rate the number of requests a second, zero to derive it from the utilisation
 */
public record BenchPlan(
        ServiceShape shape,
        Scenario scenario,
        List<Variant> variants,
        int utilisationPercent,
        int gateways,
        int rounds,
        Duration sliceDuration,
        long seed,
        boolean zeroServiceTime,
        int probesPerSecond,
        double rate) {

    /** Creates a plan with a copy of the variants. */
    public BenchPlan {
        variants = List.copyOf(variants);
    }

    /** Returns the number of requests a second, derived from the utilisation unless a rate is set. */
    public double requestsPerSecond() {
        return rate > 0 ? rate : shape.capacity() * utilisationPercent / 100;
    }
}
