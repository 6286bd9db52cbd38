package org.chivecourse.gateway.settings;

import java.time.Duration;
import java.util.List;
import org.chivecourse.coordination.choice.ChoicePolicy;
import org.chivecourse.coordination.crossing.CrossingSettings;
import org.chivecourse.coordination.host.FleetSettings.RetryLimits;
import org.chivecourse.coordination.host.HostSettings.KeyLimits;
import org.chivecourse.transport.http.HttpSettings;

/**
 * The settings of a gateway.
 *
 * @param name the name of the host
 * @param dataCentre the name of the host's data centre
 * @param callers the endpoint for callers
 * @param operators the endpoint for operators and the load balancer in front of the gateways
 * @param peers the endpoint for other gateways, {@code null} if this gateway exchanges no digests
 * @param configurationService the addresses of the configuration service's replicas, empty if there is a fleet
 * @param hostList the addresses of the host list's replicas, empty if there is a fleet
 * @param expectedHosts the maximum number of hosts that run gateways at the same time
 * @param choice the policy that chooses a backend server
 * @param http the bounds on connections and messages
 * @param maximumCalls the maximum number of calls that the gateway holds at the same time
 * @param keys the bounds on idempotency keys
 * @param traceSteps the number of steps of the decision core that are kept for {@code /trace}
 * @param drain the times of a stop
 * @param fleet the settings of a fleet that is discovered through seeds, {@code null} if the platform lists hosts
 * @param threads the number of threads that connections run on
 * @param backendTrust the file with the certificates that backend servers are verified against, empty for plain
 *     connections
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

    /** Creates settings with copies of the lists. */
    public GatewaySettings {
        configurationService = List.copyOf(configurationService);
        hostList = List.copyOf(hostList);
    }

    /**
     * Returns a copy of these settings with another fleet.
     *
     * @param replacement the fleet, {@code null} if the platform lists hosts
     * @return the changed copy
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
     * An endpoint that the gateway listens on.
     *
     * @param address the host name or IP address and the port, with port 0 for any free port
     * @param certificate the file with the certificate chain, empty for plain connections
     * @param key the file with the private key, empty for plain connections
     */
    public record Endpoint(String address, String certificate, String key) {}

    /**
     * The endpoint for digests of other gateways.
     *
     * @param address the host name or IP address and the port for datagrams and streams, where port 0 stands for any
     *     free port
     * @param keyFile the file with the shared key, empty for unauthenticated messages
     */
    public record Peers(String address, String keyFile) {}

    /**
     * A fleet whose gateways find each other through seeds and read published items.
     *
     * @param publisher the address of the platform's publisher
     * @param seeds the addresses of gateways through which the others are found; they may be out of date
     * @param retryBudget the bound on the retries and hedges of all gateways together
     * @param probeInterval the interval between two probes of a backend server from one data centre
     * @param connectTimeout the timeout for opening a connection
     * @param forwardingAddress the IP address and the port at which other gateways forward requests, empty if they may
     *     not
     * @param crossing how calls are kept in their data centre, {@code null} if they are not
     */
    public record Fleet(
            String publisher,
            List<String> seeds,
            RetryLimits retryBudget,
            Duration probeInterval,
            Duration connectTimeout,
            String forwardingAddress,
            CrossingSettings crossing) {

        /** Creates a fleet with a copy of the seeds. */
        public Fleet {
            seeds = List.copyOf(seeds);
        }
    }

    /**
     * The times of a stop, both measured from its start.
     *
     * @param linger the time for which the gateway reports not ready but still accepts connections
     * @param deadline the time after which open exchanges are aborted
     */
    public record Drain(Duration linger, Duration deadline) {

        /** The times if the settings do not state any. */
        public static final Drain DEFAULT = new Drain(Duration.ofSeconds(5), Duration.ofSeconds(60));
    }
}
