package org.chivecourse.gateway.daemon;

import java.util.List;
import org.chivecourse.configuration.document.DocumentException;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.protocol.platform.HostList;
import org.chivecourse.state.peer.ListedHost;
import org.chivecourse.transport.driver.CoreDriver;
import org.jboss.logging.Logger;

/**
 * Parses the host lists of the platform and passes them to the decision core. A list that cannot be parsed is logged
 * and ignored.
 */
final class HostListFeed extends PlatformFeed {

    /** Logs host lists that are ignored. */
    private static final Logger LOGGER = Logger.getLogger(HostListFeed.class);

    /** Receives an event for each host list. */
    private final CoreDriver driver;

    /**
     * Creates a feed.
     *
     * @param driver the driver of the decision core
     * @param replicas records which replicas answer
     */
    HostListFeed(CoreDriver driver, PlatformReplicas replicas) {
        super(replicas);
        this.driver = driver;
    }

    @Override
    void handleValue(String address, String text) {
        try {
            List<ListedHost> hosts = HostList.parse(address, text).hosts().stream()
                    .map(host -> new ListedHost(
                            host.name(), host.address(), host.dataCentre(), host.state() == HostList.HostState.LEAVING))
                    .toList();
            driver.handle(new Event.HostsRead(hosts));
        } catch (DocumentException exception) {
            LOGGER.warnf("host list of %s ignored: %s", address, exception.getMessage());
        }
    }
}
