package org.chivecourse.gateway;

import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import org.chivecourse.configuration.format.ConfigurationWriter;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.Limits;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.configuration.model.RefusalSignal;
import org.chivecourse.configuration.model.Route;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.gateway.daemon.Gateway;
import org.chivecourse.gateway.settings.GatewaySettings;
import org.chivecourse.gateway.settings.GatewaySettingsReader;
import org.chivecourse.protocol.platform.PlatformProtocol;
import org.chivecourse.standin.platform.ValueStandIn;

/** Runs gateways on the loopback interface beside a stand-in for the configuration service and host list. */
public final class GatewayFixture implements AutoCloseable {

    private static final Duration WAIT_TIMEOUT = Duration.ofSeconds(20);

    private final ValueStandIn configurationService =
            new ValueStandIn(PlatformProtocol.CONFIGURATION_PATH, new InetSocketAddress("127.0.0.1", 0));

    private final List<Gateway> gateways = new ArrayList<>();

    private final Service service;

    private GatewayFixture(List<String> servers, UnaryOperator<Service> customization) {
        configurationService.start();
        Service jobs = Service.named("jobs")
                .limits(Limits.DEFAULT.deadline(Duration.ofSeconds(20)))
                .refusal(new RefusalSignal(503, "Refused", "before-running"))
                .route(Route.of("/jobs/lookups", Method.GET, Method.HEAD).attempts(3))
                .route(Route.of("/jobs/orders", Method.POST));
        for (String server : servers) {
            jobs = jobs.backendServer(BackendServer.at(server).in("si-a"));
        }
        service = customization.apply(jobs);
        publish(1, service);
    }

    public static GatewayFixture of(List<String> servers, String... extraSettings) throws Exception {
        return of(servers, UnaryOperator.identity(), extraSettings);
    }

    public static GatewayFixture of(List<String> servers, UnaryOperator<Service> customization, String... extraSettings)
            throws Exception {
        GatewayFixture fixture = new GatewayFixture(servers, customization);
        fixture.startGateway(extraSettings);
        return fixture;
    }

    public static GatewayFixture withCallers(String callers, List<String> servers) throws Exception {
        GatewayFixture fixture = new GatewayFixture(servers, UnaryOperator.identity());
        fixture.startGatewayWithCallers(callers);
        return fixture;
    }

    public Gateway startGateway(String... extraSettings) throws Exception {
        return startGatewayWithCallers("callers: {address: \"127.0.0.1:0\"}", extraSettings);
    }

    private Gateway startGatewayWithCallers(String callers, String... extraSettings) throws Exception {
        String text = "name: host-" + gateways.size() + "\n"
                + "data-centre: si-a\n"
                + callers
                + "\n"
                + "operators: {address: \"127.0.0.1:0\"}\n"
                + "configuration-service: [\"" + configurationService.address() + "\"]\n"
                + "host-list: [\"" + configurationService.address() + "\"]\n"
                + "expected-hosts: 2\n"
                + "drain: {linger-milliseconds: 200, deadline-milliseconds: 20000}\n"
                + String.join("\n", extraSettings);
        GatewaySettings settings = GatewaySettingsReader.read("test", text);
        Gateway gateway = new Gateway(settings, 7, Clock.systemUTC());
        gateway.start();
        gateways.add(gateway);
        await(gateway::ready);
        return gateway;
    }

    /** Waits until a condition holds, and fails if it does not within the timeout. */
    public static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + WAIT_TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("condition did not hold within the timeout");
            }
            LockSupport.parkNanos(Duration.ofMillis(2).toNanos());
        }
    }

    public void publish(long revision, Service changedService) {
        Configuration configuration = Configuration.revision(revision).service(changedService);
        configurationService.publish(new ConfigurationWriter().printUnchecked(configuration));
    }

    public ValueStandIn configurationService() {
        return configurationService;
    }

    public Service service() {
        return service;
    }

    public Gateway gateway() {
        return gateways.get(0);
    }

    public int port() {
        return gateway().callerPort();
    }

    @Override
    public void close() {
        gateways.forEach(GatewayFixture::stop);
        configurationService.stop();
    }

    private static void stop(Gateway gateway) {
        gateway.skipDrain();
        try {
            gateway.stop();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
