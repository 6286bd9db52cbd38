package org.chivecourse.command.fleet;

import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.chivecourse.configuration.document.DocumentException;
import org.chivecourse.configuration.format.ConfigurationWriter;
import org.chivecourse.configuration.format.PrintedConfiguration;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.configuration.rule.ConfigurationException;
import org.chivecourse.gateway.daemon.Gateway;
import org.chivecourse.gateway.daemon.GatewayException;
import org.chivecourse.gateway.settings.GatewaySettings;
import org.chivecourse.gateway.settings.GatewaySettingsReader;
import org.chivecourse.protocol.platform.HostList;
import org.chivecourse.protocol.platform.PlatformProtocol;
import org.chivecourse.standin.backend.BackendProfile;
import org.chivecourse.standin.backend.BackendServerStandIn;
import org.chivecourse.standin.backend.RunCounts;
import org.chivecourse.standin.deployment.ServiceShape;
import org.chivecourse.standin.platform.ValueStandIn;

/** Runs gateways, simulated backend servers and simulated platform services in this process on loopback. */
public final class LocalFleet implements AutoCloseable {

    /** The number of runs of each request over all backend servers. */
    private final RunCounts runCounts = new RunCounts();

    /** The simulated configuration service. */
    private final ValueStandIn configurationService =
            new ValueStandIn(PlatformProtocol.CONFIGURATION_PATH, ephemeralLoopbackAddress());

    /** The simulated host list. */
    private final ValueStandIn hostList = new ValueStandIn(PlatformProtocol.HOSTS_PATH, ephemeralLoopbackAddress());

    /** The simulated backend servers by service. */
    private final Map<ServiceShape, List<BackendServerStandIn>> servers = new LinkedHashMap<>();

    /** The gateways in the order of their start. */
    private final List<Gateway> gateways = new ArrayList<>();

    /** The entries of the published host list, one for each gateway. */
    private final List<HostList.Host> hosts = new ArrayList<>();

    /** The configuration published last. */
    private PrintedConfiguration publishedConfiguration;

    /** The base from which the seeds of service times and gateways are derived. */
    private final long seed;

    /**
     * Starts the simulated services and publishes the first configuration; gateways are started separately.
     *
     * @param shapes the services
     * @param profileCustomizer changes the profiles of backend servers
     * @param serviceCustomizer changes the configurations of services
     * @param seed the base from which the seeds of service times and gateways are derived
     * @throws ConfigurationException if the configuration is invalid
     */
    public LocalFleet(
            List<ServiceShape> shapes,
            UnaryOperator<BackendProfile> profileCustomizer,
            UnaryOperator<Service> serviceCustomizer,
            long seed)
            throws ConfigurationException {
        this.seed = seed;
        configurationService.start();
        hostList.start();
        hostList.publish(new HostList(List.of()).toJson());
        Configuration configuration = Configuration.revision(1);
        for (ServiceShape shape : shapes) {
            List<BackendServerStandIn> standIns = startServers(shape, profileCustomizer.apply(shape.profile()));
            servers.put(shape, standIns);
            List<String> addresses =
                    standIns.stream().map(BackendServerStandIn::address).toList();
            configuration = configuration.service(serviceCustomizer.apply(shape.toService(addresses)));
        }
        publishedConfiguration = new ConfigurationWriter().print(configuration);
        configurationService.publish(publishedConfiguration.text());
    }

    /** Returns a loopback address with port zero, which selects a free port. */
    private static InetSocketAddress ephemeralLoopbackAddress() {
        return new InetSocketAddress("127.0.0.1", 0);
    }

    /**
     * Starts the backend servers of a service, each with its own seed.
     *
     * @param shape the service
     * @param profile the profile of the backend servers
     * @return the started backend servers
     */
    private List<BackendServerStandIn> startServers(ServiceShape shape, BackendProfile profile) {
        List<BackendServerStandIn> standIns = new ArrayList<>();
        for (int index = 0; index < shape.servers(); index++) {
            long serverSeed = seed * 1000 + shape.ordinal() * 100L + index;
            BackendServerStandIn standIn =
                    new BackendServerStandIn(ephemeralLoopbackAddress(), profile, runCounts, serverSeed);
            standIn.start();
            standIns.add(standIn);
        }
        return standIns;
    }

    /**
     * Starts a gateway, adds it to the host list and waits until it is ready.
     *
     * @param dataCentre the name of the gateway's data centre
     * @param expectedHostCount the maximum number of gateways
     * @param choicePolicy the name of the policy that chooses backend servers
     * @return the gateway
     * @throws DocumentException if the settings are invalid
     * @throws GatewayException if the gateway cannot start
     * @throws InterruptedException if the thread is interrupted
     */
    public Gateway startGateway(String dataCentre, int expectedHostCount, String choicePolicy)
            throws DocumentException, GatewayException, InterruptedException {
        String settingsText = "name: host-" + (gateways.size() + 1) + "\n"
                + "data-centre: " + dataCentre + "\n"
                + "callers: {address: \"127.0.0.1:0\"}\n"
                + "operators: {address: \"127.0.0.1:0\"}\n"
                + "peers: {address: \"127.0.0.1:0\"}\n"
                + "configuration-service: [\"" + configurationService.address() + "\"]\n"
                + "host-list: [\"" + hostList.address() + "\"]\n"
                + "expected-hosts: " + expectedHostCount + "\n"
                + "choice: " + choicePolicy + "\n"
                + "drain: {linger-milliseconds: 300, deadline-milliseconds: 30000}\n";
        GatewaySettings settings = GatewaySettingsReader.read("settings", settingsText);
        Gateway gateway = new Gateway(settings, seed + gateways.size(), Clock.systemUTC());
        gateway.start();
        gateways.add(gateway);
        hosts.add(new HostList.Host(
                settings.name(), "127.0.0.1:" + gateway.peerPort(), dataCentre, HostList.HostState.LIVE));
        hostList.publish(new HostList(hosts).toJson());
        while (!gateway.ready()) {
            Thread.sleep(1);
        }
        return gateway;
    }

    /**
     * Publishes a changed configuration as the next revision.
     *
     * @param update changes the configuration published last
     * @return the published configuration
     * @throws ConfigurationException if the configuration is invalid
     */
    public PrintedConfiguration publish(UnaryOperator<Configuration> update) throws ConfigurationException {
        long revision = publishedConfiguration.configuration().revision() + 1;
        Configuration next = update.apply(publishedConfiguration.configuration())
                .following(revision, publishedConfiguration.digest());
        publishedConfiguration = new ConfigurationWriter().print(next, publishedConfiguration);
        configurationService.publish(publishedConfiguration.text());
        return publishedConfiguration;
    }

    /** Returns the simulated configuration service. */
    public ValueStandIn configurationService() {
        return configurationService;
    }

    /**
     * Returns the simulated backend servers of a service.
     *
     * @param shape the service
     */
    public List<BackendServerStandIn> servers(ServiceShape shape) {
        return servers.get(shape);
    }

    /** Returns the number of runs of each request over all backend servers. */
    public RunCounts runCounts() {
        return runCounts;
    }

    /** Returns the gateways in the order of their start. */
    public List<Gateway> gateways() {
        return gateways;
    }

    /**
     * Returns the addresses at which gateways accept callers.
     *
     * @param selectedGateways the gateways
     */
    public static List<String> callerAddresses(List<Gateway> selectedGateways) {
        return selectedGateways.stream()
                .map(gateway -> "127.0.0.1:" + gateway.callerPort())
                .toList();
    }

    /**
     * Returns the addresses at which gateways accept operators.
     *
     * @param selectedGateways the gateways
     */
    public static List<String> operatorAddresses(List<Gateway> selectedGateways) {
        return selectedGateways.stream()
                .map(gateway -> "127.0.0.1:" + gateway.operatorPort())
                .toList();
    }

    @Override
    public void close() {
        gateways.forEach(LocalFleet::stopWithoutDraining);
        servers.values().forEach(list -> list.forEach(BackendServerStandIn::stop));
        configurationService.stop();
        hostList.stop();
    }

    /**
     * Stops a gateway without waiting for open exchanges.
     *
     * @param gateway the gateway
     */
    private static void stopWithoutDraining(Gateway gateway) {
        gateway.skipDrain();
        try {
            gateway.stop();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
