package org.chivecourse.coordination.host;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.chivecourse.coordination.choice.ChoicePolicy;

/**
 * The settings of a decision core, which do not change while its gateway runs.
 *
 * @param name the name of the host
 * @param dataCentre the name of the host's data centre
 * @param expectedHosts the maximum number of hosts that run gateways at the same time
 * @param exchangesDigests whether the gateway exchanges digests with others
 * @param incarnation the incarnation of the gateway, higher after each restart
 * @param keys the limits on remembered idempotency keys
 * @param policy the policy that chooses a backend server
 * @param maximumCalls the maximum number of calls that the host accepts at the same time
 * @param fleet the settings of a fleet whose gateways discover each other through seeds, disabled if there is none
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

    /** Creates settings. Older traces lack the key limits and the fleet, which then have their defaults. */
    public HostSettings {
        keys = keys == null ? KeyLimits.DEFAULT : keys;
        fleet = fleet == null ? FleetSettings.NONE : fleet;
    }

    /**
     * Creates settings of a gateway that does not discover others through seeds.
     *
     * @param name the name of the host
     * @param dataCentre the name of the host's data centre
     * @param expectedHosts the maximum number of hosts that run gateways at the same time
     * @param exchangesDigests whether the gateway exchanges digests with others
     * @param incarnation the incarnation of the gateway, higher after each restart
     * @param keys the limits on remembered idempotency keys
     * @param policy the policy that chooses a backend server
     * @param maximumCalls the maximum number of calls that the host accepts at the same time
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
     * Creates settings of a gateway that exchanges no digests, with the default key limits.
     *
     * @param name the name of the host
     * @param dataCentre the name of the host's data centre
     * @param expectedHosts the maximum number of hosts that run gateways at the same time
     * @param policy the policy that chooses a backend server
     * @param maximumCalls the maximum number of calls that the host accepts at the same time
     */
    public HostSettings(String name, String dataCentre, int expectedHosts, ChoicePolicy policy, int maximumCalls) {
        this(name, dataCentre, expectedHosts, false, 1, KeyLimits.DEFAULT, policy, maximumCalls);
    }

    /**
     * The limits on remembered idempotency keys.
     *
     * @param lifetimeNanoseconds the time for which a key is remembered after its call has ended, in nanoseconds;
     *     callers must not send a duplicate of the request later than that
     * @param maximumKeys the maximum number of keys that are remembered
     */
    public record KeyLimits(
            long lifetimeNanoseconds,
            @JsonProperty("largestNumber") int maximumKeys) {

        /** The limits that apply unless others are configured: 60 seconds and 100,000 keys. */
        public static final KeyLimits DEFAULT = new KeyLimits(60_000_000_000L, 100_000);
    }
}
