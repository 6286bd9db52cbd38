package org.chivecourse.coordination.host;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * What a decision core knows from the start of a fleet that finds itself by seeds.
 *
 * @param address the address at which this gateway listens for others, empty if there is no such fleet
 * @param seeds the addresses of some gateways, which may be out of date
 * @param retryLimits the bound on repeats
 * @param probeIntervalNanoseconds the time between two probes of a backend server from one data centre, zero for no probes
 */
public record FleetSettings(
        String address,
        List<String> seeds,
        @JsonProperty("repeats") RetryLimits retryLimits,
        @JsonProperty("probeNanoseconds") long probeIntervalNanoseconds) {

    /** No fleet that finds itself. */
    public static final FleetSettings NONE = new FleetSettings("", List.of(), RetryLimits.DEFAULT, 0);

    /**
     * Creates settings whose seeds are copied.
     */
    public FleetSettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Returns whether there is a fleet that finds itself.
     *
     * @return {@code true} if gateways find each other by seeds
     */
    public boolean enabled() {
        return !address.isEmpty();
    }

    /**
     * The bound on what all gateways of the fleet together send again to the backend servers of a service.
     *
     * @param share the number of repeats for each request within the window
     * @param slack the number of repeats beyond that within the window
     * @param windowNanoseconds the length of the sliding window, in nanoseconds
     */
    public record RetryLimits(double share, int slack, long windowNanoseconds) {

        /** The bound where nothing else is said. */
        public static final RetryLimits DEFAULT = new RetryLimits(0.1, 20, 10_000_000_000L);
    }
}
