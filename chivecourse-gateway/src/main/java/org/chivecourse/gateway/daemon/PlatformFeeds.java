package org.chivecourse.gateway.daemon;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Clock;
import java.util.List;
import java.util.SplittableRandom;
import org.chivecourse.gateway.settings.GatewaySettings;
import org.chivecourse.protocol.platform.PlatformProtocol;
import org.chivecourse.transport.driver.CoreDriver;
import org.chivecourse.transport.platform.PlatformWatch;

/** Owns the watches of the platform's configuration service and host list. */
final class PlatformFeeds {

    /** The watch of the configuration service, empty if the platform has no such service. */
    private final List<PlatformWatch> configurationWatches;

    /** The watch of the host list, empty if the platform has no such list. */
    private final List<PlatformWatch> hostListWatches;

    /** Records for each replica of the platform whether it answers. */
    private final PlatformReplicas replicas;

    /**
     * Creates the watches. They must be started separately.
     *
     * @param settings the settings of the gateway
     * @param driver the driver of the decision core
     * @param seed the seed of the source of randomness
     * @param clock supplies the timestamps of the replicas' answers
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

    /** Starts the watches. */
    void start() {
        configurationWatches.forEach(PlatformWatch::start);
        hostListWatches.forEach(PlatformWatch::start);
    }

    /** Stops the watches. */
    void stop() {
        configurationWatches.forEach(PlatformWatch::stop);
        hostListWatches.forEach(PlatformWatch::stop);
    }

    /**
     * Sets whether the configuration service is watched by consecutive long polls or only polled at long intervals.
     *
     * @param enabled whether to use consecutive long polls
     */
    void setLongPolling(boolean enabled) {
        configurationWatches.forEach(watch -> watch.setLongPolling(enabled));
    }

    /**
     * Adds the status of each platform replica to the status document.
     *
     * @param status the status document
     */
    void addReplicaStatuses(ObjectNode status) {
        ObjectNode platform = status.putObject("platform");
        replicas.statuses()
                .forEach((address, replica) -> platform.putObject(address)
                        .put("last-reached", replica.lastReached().toString())
                        .put("failure", replica.failure()));
    }
}
