package org.chivecourse.configuration.model;

/**
 * The bound on the work of measuring the load of a service's backend servers, over all gateways.
 *
 * @param probesPerSecond the number of probes in any second
 * @param slotSharePermille the share of slot time that probes may use, in thousandths
 */
public record MeasuringBudget(int probesPerSecond, int slotSharePermille) {

    /** The budget of a service whose backend servers are never probed. */
    public static final MeasuringBudget NONE = new MeasuringBudget(0, 0);
}
