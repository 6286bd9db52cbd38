package org.chivecourse.command.bench;

import java.time.Duration;
import java.util.List;
import org.chivecourse.standin.deployment.ServiceShape;

/**
 * What to measure.
 *
 * @param shape the service
 * @param scenario what backend servers go through
 * @param variants the ways of working, the first as the base of ratios
 * @param utilisationPercent the share of slots that the load keeps busy, in percent
 * @param gateways the number of gateways
 * @param rounds the number of times that each variant is measured
 * @param sliceDuration the time of each measurement
 * @param seed the seed of arrivals, service times and disturbances
 * @param zeroServiceTime whether backend servers answer at once, for the time that gateways add
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

    /**
     * Creates a plan whose variants are copied.
     */
    public BenchPlan {
        variants = List.copyOf(variants);
    }

    /**
     * Returns the number of requests a second.
     *
     * @return the rate
     */
    public double requestsPerSecond() {
        return rate > 0 ? rate : shape.capacity() * utilisationPercent / 100;
    }
}
