package org.chivecourse.gateway.daemon;

import org.chivecourse.configuration.document.DocumentException;
import org.chivecourse.configuration.format.ConfigurationReader;
import org.chivecourse.configuration.rule.ConfigurationException;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.transport.driver.CoreDriver;

/** Parses the configurations of the configuration service and passes them to the decision core. */
final class ConfigurationFeed extends PlatformFeed {

    /** Parses the configuration's text format. */
    private final ConfigurationReader reader = new ConfigurationReader();

    /** Receives an event for each configuration, and for each one that is rejected. */
    private final CoreDriver driver;

    /**
     * Creates a feed.
     *
     * @param driver the driver of the decision core
     * @param replicas records which replicas answer
     */
    ConfigurationFeed(CoreDriver driver, PlatformReplicas replicas) {
        super(replicas);
        this.driver = driver;
    }

    @Override
    void handleValue(String address, String text) {
        try {
            driver.handle(new Event.ConfigurationRead(reader.read(address, text), address));
        } catch (DocumentException | ConfigurationException exception) {
            driver.handle(new Event.ConfigurationRejected(address, exception.getMessage()));
        }
    }
}
