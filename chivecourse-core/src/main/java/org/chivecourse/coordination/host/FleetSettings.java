package org.chivecourse.coordination.host;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.chivecourse.coordination.crossing.CrossingSettings;

/**
 * The settings of a fleet whose gateways discover each other through seeds.
 *
 * @param address the address at which this gateway listens for other gateways, empty if there is no such fleet
 * @param seeds the addresses of some gateways of the fleet, which may be out of date
 * @param retryLimits the retry budget of the fleet, which counts retries and hedges together
 * @param probeIntervalNanoseconds the time between two probes of a backend server from one data centre, in nanoseconds,
 *     zero for no probes
 * @param forwardingAddress the address at which this gateway takes calls of other gateways, empty if it takes none
 * @param crossing how calls are kept in their data centre, {@code null} if they are not
 */
public record FleetSettings(
        String address,
        List<String> seeds,
        @JsonProperty("repeats") RetryLimits retryLimits,
        @JsonProperty("probeNanoseconds") long probeIntervalNanoseconds,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) String forwardingAddress,
        @JsonInclude(JsonInclude.Include.NON_NULL) CrossingSettings crossing) {

    /** The settings of a gateway that does not discover others through seeds. */
    public static final FleetSettings NONE = new FleetSettings("", List.of(), RetryLimits.DEFAULT, 0);

    /** Creates settings with a copy of the seeds. */
    public FleetSettings {
        seeds = List.copyOf(seeds);
        forwardingAddress = forwardingAddress == null ? "" : forwardingAddress;
    }

    /**
     * Creates the settings of a gateway that takes no calls of other gateways.
     *
     * @param address the address at which this gateway listens for other gateways, empty if there is no such fleet
     * @param seeds the addresses of some gateways of the fleet, which may be out of date
     * @param retryLimits the retry budget of the fleet, which counts retries and hedges together
     * @param probeIntervalNanoseconds the time between two probes of a backend server from one data centre, in
     *     nanoseconds, zero for no probes
     */
    public FleetSettings(String address, List<String> seeds, RetryLimits retryLimits, long probeIntervalNanoseconds) {
        this(address, seeds, retryLimits, probeIntervalNanoseconds, "");
    }

    /**
     * Creates the settings of a gateway whose calls are not kept in their data centre.
     *
     * @param address the address at which this gateway listens for other gateways, empty if there is no such fleet
     * @param seeds the addresses of some gateways of the fleet, which may be out of date
     * @param retryLimits the retry budget of the fleet, which counts retries and hedges together
     * @param probeIntervalNanoseconds the time between two probes of a backend server from one data centre, in
     *     nanoseconds, zero for no probes
     * @param forwardingAddress the address at which this gateway takes calls of other gateways, empty if it takes none
     */
    public FleetSettings(
            String address,
            List<String> seeds,
            RetryLimits retryLimits,
            long probeIntervalNanoseconds,
            String forwardingAddress) {
        this(address, seeds, retryLimits, probeIntervalNanoseconds, forwardingAddress, null);
    }

    /** Returns whether gateways forward calls to each other. */
    public boolean forwards() {
        return !forwardingAddress.isEmpty();
    }

    /** Returns whether gateways discover each other through seeds. */
    public boolean enabled() {
        return !address.isEmpty();
    }

    /**
     * The retry budget that all gateways of a fleet share for each service; it counts retries and hedges together.
     *
     * @param share the number of retries per request within the window
     * @param slack the number of retries beyond that share within the window
     * @param windowNanoseconds the length of the sliding window, in nanoseconds
     */
    public record RetryLimits(double share, int slack, long windowNanoseconds) {

        /**
         * The budget that applies unless another one is configured: a tenth of the requests of ten seconds, and 20
         * more.
         */
        public static final RetryLimits DEFAULT = new RetryLimits(0.1, 20, 10_000_000_000L);
    }
}
