package org.chivecourse.gateway.daemon;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Clock;
import java.util.List;
import java.util.SplittableRandom;
import org.chivecourse.gateway.settings.GatewaySettings;
import org.chivecourse.protocol.platform.PlatformProtocol;
import org.chivecourse.transport.driver.CoreDriver;
import org.chivecourse.transport.platform.PlatformWatch;

/** The watches of a platform's configuration service and host list. */
final class PlatformFeeds {

    /** The watches of the configuration service, none where the platform has no such service. */
    private final List<PlatformWatch> configuration;

    /** The watches of the host list, none where the platform has no such list. */
    private final List<PlatformWatch> hosts;

    /** What is known of the platform's replicas. */
    private final PlatformContacts contacts;

    /**
     * Creates feeds that are not started.
     *
     * @param settings the settings of the gateway
     * @param driver the driver of the decision core
     * @param seed the seed of the source of randomness
     * @param clock tells the time of contacts
     */
    PlatformFeeds(GatewaySettings settings, CoreDriver driver, long seed, Clock clock) {
        contacts = new PlatformContacts(clock);
        configuration = settings.configurationService().isEmpty()
                ? List.of()
                : List.of(new PlatformWatch(
                        settings.configurationService(),
                        PlatformProtocol.CONFIGURATION_PATH,
                        new ConfigurationFeed(driver, contacts),
                        new SplittableRandom(seed)));
        hosts = settings.hostList().isEmpty()
                ? List.of()
                : List.of(new PlatformWatch(
                        settings.hostList(),
                        PlatformProtocol.HOSTS_PATH,
                        new HostListFeed(driver, contacts),
                        new SplittableRandom(seed + 1)));
    }

    /**
     * Starts the watches.
     */
    void start() {
        configuration.forEach(PlatformWatch::start);
        hosts.forEach(PlatformWatch::start);
    }

    /**
     * Stops the watches.
     */
    void stop() {
        configuration.forEach(PlatformWatch::stop);
        hosts.forEach(PlatformWatch::stop);
    }

    /**
     * Watches the configuration service without pause, or looks at it now and then.
     *
     * @param withoutPause whether to watch without pause
     */
    void watch(boolean withoutPause) {
        configuration.forEach(watch -> watch.setLongPolling(withoutPause));
    }

    /**
     * Prints what is known of the platform's replicas.
     *
     * @param status the status to add it to
     */
    void print(ObjectNode status) {
        ObjectNode platform = status.putObject("platform");
        contacts.all()
                .forEach((address, contact) -> platform.putObject(address)
                        .put("last-reached", contact.lastReached().toString())
                        .put("failure", contact.failure()));
    }
}
