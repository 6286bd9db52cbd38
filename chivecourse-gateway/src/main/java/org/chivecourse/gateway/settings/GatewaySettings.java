package org.chivecourse.gateway.settings;

import java.time.Duration;
import java.util.List;
import org.chivecourse.coordination.choice.ChoicePolicy;
import org.chivecourse.coordination.host.FleetSettings.RetryLimits;
import org.chivecourse.coordination.host.HostSettings.KeyLimits;
import org.chivecourse.transport.http.HttpSettings;

/**
 * The settings of a gateway.
 *
 * @param name the name of the host
 * @param dataCentre the name of the data centre that the host stands in
 * @param callers where callers connect to
 * @param operators where operators and the platform's balancer connect to
 * @param peers where other gateways connect to, {@code null} if this one exchanges nothing with others
 * @param configurationService the addresses of the configuration service's replicas
 * @param hostList the addresses of the host list's replicas
 * @param expectedHosts the largest number of hosts that may run gateways at the same time
 * @param choice the way to choose a backend server
 * @param http the bounds on connections
 * @param maximumCalls the number of calls that the gateway holds at the same time
 * @param keys the bounds on idempotency keys
 * @param traceSteps the number of steps of the decision core that are kept for operators
 * @param drain the times of a stop
 * @param fleet the fleet that finds itself, {@code null} if the platform lists hosts
 * @param threads the number of threads that connections run on
 * @param backendTrust the file with the certificates that backend servers are trusted by, empty for plain connections
 */
public record GatewaySettings(
        String name,
        String dataCentre,
        Endpoint callers,
        Endpoint operators,
        Peers peers,
        List<String> configurationService,
        List<String> hostList,
        int expectedHosts,
        ChoicePolicy choice,
        HttpSettings http,
        int maximumCalls,
        KeyLimits keys,
        int traceSteps,
        Drain drain,
        Fleet fleet,
        int threads,
        String backendTrust) {

    /**
     * Creates settings whose lists are copied.
     */
    public GatewaySettings {
        configurationService = List.copyOf(configurationService);
        hostList = List.copyOf(hostList);
    }

    /**
     * Returns these settings with another fleet.
     *
     * @param replacement the fleet, {@code null} if the platform lists hosts
     * @return the changed settings
     */
    public GatewaySettings withFleet(Fleet replacement) {
        return new GatewaySettings(
                name,
                dataCentre,
                callers,
                operators,
                peers,
                configurationService,
                hostList,
                expectedHosts,
                choice,
                http,
                maximumCalls,
                keys,
                traceSteps,
                drain,
                replacement,
                threads,
                backendTrust);
    }

    /**
     * An address to listen on.
     *
     * @param address the host name or IP number and the port, zero for any port
     * @param certificate the file with the certificate chain, empty for plain connections
     * @param key the file with the private key, empty for plain connections
     */
    public record Endpoint(String address, String certificate, String key) {}

    /**
     * The exchange with other gateways.
     *
     * @param address the host name or IP number and the port, zero for any port, for datagrams and streams
     * @param keyFile the file with the shared key, empty for an exchange without proof
     */
    public record Peers(String address, String keyFile) {}

    /**
     * The fleet that finds itself by seeds and reads published items.
     *
     * @param publisher the address of the platform's publisher
     * @param seeds the addresses of some gateways, which may be out of date
     * @param retryBudget the bound on what all gateways together send again
     * @param probeInterval the time between two probes of a backend server from one data centre
     * @param connectTimeout the longest time to open a connection
     */
    public record Fleet(
            String publisher,
            List<String> seeds,
            RetryLimits retryBudget,
            Duration probeInterval,
            Duration connectTimeout) {

        /**
         * Creates a fleet whose seeds are copied.
         */
        public Fleet {
            seeds = List.copyOf(seeds);
        }
    }

    /**
     * The times of a stop.
     *
     * @param linger the time between the withdrawal of readiness and the end of listening
     * @param deadline the time after which open exchanges are cut
     */
    public record Drain(Duration linger, Duration deadline) {

        /** The times where nothing else is said. */
        public static final Drain DEFAULT = new Drain(Duration.ofSeconds(5), Duration.ofSeconds(60));
    }
}
