package org.chivecourse.coordination.host;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.chivecourse.coordination.choice.ChoicePolicy;

/**
 * What a decision core knows of its host from the start.
 *
 * @param name the name of the host
 * @param dataCentre the name of the data centre that the host stands in
 * @param expectedHosts the largest number of hosts that may run gateways at the same time
 * @param exchangesDigests whether the gateway exchanges digests with others
 * @param incarnation the number of the gateway's life, higher for a later one
 * @param keys the bounds on idempotency keys
 * @param policy the way to choose a backend server
 * @param maximumCalls the number of calls that the host holds at the same time
 * @param fleet the fleet that finds itself by seeds, if there is one
 */
public record HostSettings(
        String name,
        String dataCentre,
        int expectedHosts,
        @JsonProperty("exchanges") boolean exchangesDigests,
        long incarnation,
        KeyLimits keys,
        ChoicePolicy policy,
        @JsonProperty("largestCalls") int maximumCalls,
        FleetSettings fleet) {

    /**
     * Creates settings; those of older traces lack the bounds on keys and the fleet and get the defaults.
     */
    public HostSettings {
        keys = keys == null ? KeyLimits.DEFAULT : keys;
        fleet = fleet == null ? FleetSettings.NONE : fleet;
    }

    /**
     * Creates settings of a gateway whose fleet is listed by the platform.
     *
     * @param name the name of the host
     * @param dataCentre the name of the data centre that the host stands in
     * @param expectedHosts the largest number of hosts that may run gateways at the same time
     * @param exchangesDigests whether the gateway exchanges digests with others
     * @param incarnation the number of the gateway's life, higher for a later one
     * @param keys the bounds on idempotency keys
     * @param policy the way to choose a backend server
     * @param maximumCalls the number of calls that the host holds at the same time
     */
    public HostSettings(
            String name,
            String dataCentre,
            int expectedHosts,
            boolean exchangesDigests,
            long incarnation,
            KeyLimits keys,
            ChoicePolicy policy,
            int maximumCalls) {
        this(
                name,
                dataCentre,
                expectedHosts,
                exchangesDigests,
                incarnation,
                keys,
                policy,
                maximumCalls,
                FleetSettings.NONE);
    }

    /**
     * Creates settings of a gateway that exchanges nothing with others.
     *
     * @param name the name of the host
     * @param dataCentre the name of the data centre that the host stands in
     * @param expectedHosts the largest number of hosts that may run gateways at the same time
     * @param policy the way to choose a backend server
     * @param maximumCalls the number of calls that the host holds at the same time
     */
    public HostSettings(String name, String dataCentre, int expectedHosts, ChoicePolicy policy, int maximumCalls) {
        this(name, dataCentre, expectedHosts, false, 1, KeyLimits.DEFAULT, policy, maximumCalls);
    }

    /**
     * The bounds on idempotency keys.
     *
     * @param lifetimeNanoseconds the time for which a key is remembered after its call, in nanoseconds; callers send no
     *     copy of a request later than that
     * @param maximumKeys the largest number of keys that are remembered
     */
    public record KeyLimits(
            long lifetimeNanoseconds,
            @JsonProperty("largestNumber") int maximumKeys) {

        /** The bounds where nothing else is said. */
        public static final KeyLimits DEFAULT = new KeyLimits(60_000_000_000L, 100_000);
    }
}
