package org.chivecourse.gateway.daemon;

import org.chivecourse.configuration.document.DocumentException;
import org.chivecourse.configuration.format.ConfigurationReader;
import org.chivecourse.configuration.rule.ConfigurationException;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.transport.driver.CoreDriver;

/** Reads the values of the configuration service and tells them to the core. */
final class ConfigurationFeed extends PlatformFeed {

    /** Reads printed configurations. */
    private final ConfigurationReader reader = new ConfigurationReader();

    /** The driver of the decision core. */
    private final CoreDriver driver;

    /**
     * Creates a feed.
     *
     * @param driver the driver of the decision core
     * @param replicas receives what is known of the replicas
     */
    ConfigurationFeed(CoreDriver driver, PlatformReplicas replicas) {
        super(replicas);
        this.driver = driver;
    }

    @Override
    void read(String address, String text) {
        try {
            driver.handle(new Event.ConfigurationRead(reader.read(address, text), address));
        } catch (DocumentException | ConfigurationException exception) {
            driver.handle(new Event.ConfigurationRejected(address, exception.getMessage()));
        }
    }
}
