package org.chivecourse.gateway.daemon;

import org.chivecourse.configuration.document.DocumentException;
import org.chivecourse.configuration.format.ConfigurationReader;
import org.chivecourse.configuration.rule.ConfigurationException;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.transport.driver.CoreDriver;
import org.chivecourse.transport.platform.PlatformWatch;

/** Reads the values of the configuration service and tells them to the core. */
final class ConfigurationFeed implements PlatformWatch.Observer {

    /** Reads printed configurations. */
    private final ConfigurationReader reader = new ConfigurationReader();

    /** The driver of the decision core. */
    private final CoreDriver driver;

    /** What is known of the replicas. */
    private final PlatformContacts contacts;

    /**
     * Creates a feed.
     *
     * @param driver the driver of the decision core
     * @param contacts receives what is known of the replicas
     */
    ConfigurationFeed(CoreDriver driver, PlatformContacts contacts) {
        this.driver = driver;
        this.contacts = contacts;
    }

    @Override
    public void value(String address, String text) {
        contacts.reached(address);
        try {
            driver.handle(new Event.ConfigurationRead(reader.read(address, text), address));
        } catch (DocumentException | ConfigurationException exception) {
            driver.handle(new Event.ConfigurationRejected(address, exception.getMessage()));
        }
    }

    @Override
    public void current(String address) {
        contacts.reached(address);
    }

    @Override
    public void unreachable(String address, String reason) {
        contacts.failed(address, reason);
    }
}
