package org.chivecourse.gateway.daemon;

import java.util.List;
import org.chivecourse.configuration.document.DocumentException;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.protocol.platform.HostList;
import org.chivecourse.state.peer.ListedHost;
import org.chivecourse.transport.driver.CoreDriver;
import org.jboss.logging.Logger;

/** Reads the values of the host list and tells them to the core. */
final class HostListFeed extends PlatformFeed {

    /** The log. */
    private static final Logger LOGGER = Logger.getLogger(HostListFeed.class);

    /** The driver of the decision core. */
    private final CoreDriver driver;

    /**
     * Creates a feed.
     *
     * @param driver the driver of the decision core
     * @param replicas receives what is known of the replicas
     */
    HostListFeed(CoreDriver driver, PlatformReplicas replicas) {
        super(replicas);
        this.driver = driver;
    }

    @Override
    void read(String address, String text) {
        try {
            List<ListedHost> hosts = HostList.parse(address, text).hosts().stream()
                    .map(host -> new ListedHost(
                            host.name(), host.address(), host.dataCentre(), host.state() == HostList.HostState.LEAVING))
                    .toList();
            driver.handle(new Event.HostsRead(hosts));
        } catch (DocumentException exception) {
            LOGGER.warnf("host list of %s is not taken over: %s", address, exception.getMessage());
        }
    }
}
