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
    private final List<PlatformWatch> configurationWatches;

    /** The watches of the host list, none where the platform has no such list. */
    private final List<PlatformWatch> hostListWatches;

    /** What is known of the platform's replicas. */
    private final PlatformReplicas replicas;

    /**
     * Creates feeds that are not started.
     *
     * @param settings the settings of the gateway
     * @param driver the driver of the decision core
     * @param seed the seed of the source of randomness
     * @param clock tells the time of contacts
     */
    PlatformFeeds(GatewaySettings settings, CoreDriver driver, long seed, Clock clock) {
        replicas = new PlatformReplicas(clock);
        configurationWatches = settings.configurationService().isEmpty()
                ? List.of()
                : List.of(new PlatformWatch(
                        settings.configurationService(),
                        PlatformProtocol.CONFIGURATION_PATH,
                        new ConfigurationFeed(driver, replicas),
                        new SplittableRandom(seed)));
        hostListWatches = settings.hostList().isEmpty()
                ? List.of()
                : List.of(new PlatformWatch(
                        settings.hostList(),
                        PlatformProtocol.HOSTS_PATH,
                        new HostListFeed(driver, replicas),
                        new SplittableRandom(seed + 1)));
    }

    /**
     * Starts the watches.
     */
    void start() {
        configurationWatches.forEach(PlatformWatch::start);
        hostListWatches.forEach(PlatformWatch::start);
    }

    /**
     * Stops the watches.
     */
    void stop() {
        configurationWatches.forEach(PlatformWatch::stop);
        hostListWatches.forEach(PlatformWatch::stop);
    }

    /**
     * Watches the configuration service without pause, or looks at it now and then.
     *
     * @param withoutPause whether to watch without pause
     */
    void watch(boolean withoutPause) {
        configurationWatches.forEach(watch -> watch.setLongPolling(withoutPause));
    }

    /**
     * Prints what is known of the platform's replicas.
     *
     * @param status the status to add it to
     */
    void print(ObjectNode status) {
        ObjectNode platform = status.putObject("platform");
        replicas.statuses()
                .forEach((address, contact) -> platform.putObject(address)
                        .put("last-reached", contact.lastReached().toString())
                        .put("failure", contact.failure()));
    }
}
