package org.chivecourse.configuration.model;

/**
 * The probe budget of a service: limits for the probes that measure the load of its backend servers, summed over all
 * gateways.
 *
 * @param probesPerSecond the maximum number of probes in any second
 * @param slotSharePermille the maximum share of slot time that probes may use, in thousandths
 */
public record MeasuringBudget(int probesPerSecond, int slotSharePermille) {

    /** The budget of a service whose backend servers are never probed. */
    public static final MeasuringBudget NONE = new MeasuringBudget(0, 0);
}
