package org.chivecourse.gateway.daemon;

import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import org.chivecourse.coordination.host.FleetSettings;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.gateway.settings.GatewaySettings;
import org.chivecourse.transport.http.BackendConnections;
import org.chivecourse.transport.http.HttpSettings;
import org.chivecourse.transport.http.ServerChecks;

/** Converts the settings of a gateway to those of its components. */
final class SettingsTranslation {

    /** The number of distinct incarnation numbers for one millisecond. */
    private static final long INCARNATIONS_PER_MILLISECOND = 1000;

    /** Prevents instantiation. */
    private SettingsTranslation() {}

    /**
     * Returns the settings of the decision core.
     *
     * @param settings the settings of the gateway
     * @param seed distinguishes incarnations that start in the same millisecond
     * @param clock supplies the start time that the incarnation is derived from
     * @return the settings of the core
     */
    static HostSettings hostSettings(GatewaySettings settings, long seed, Clock clock) {
        FleetSettings fleet = settings.fleet() == null
                ? FleetSettings.NONE
                : new FleetSettings(
                        settings.peers().address(),
                        settings.fleet().seeds(),
                        settings.fleet().retryBudget(),
                        settings.fleet().probeInterval().toNanos(),
                        settings.fleet().forwardingAddress(),
                        settings.fleet().crossing());
        return new HostSettings(
                settings.name(),
                settings.dataCentre(),
                settings.expectedHosts(),
                settings.peers() != null,
                incarnation(clock, seed),
                settings.keys(),
                settings.choice(),
                settings.maximumCalls(),
                fleet);
    }

    /**
     * Returns the bounds on connections. The fleet's connect timeout replaces the general one where backend servers
     * announce themselves.
     *
     * @param settings the settings of the gateway
     * @return the bounds
     */
    static HttpSettings httpSettings(GatewaySettings settings) {
        return settings.fleet() == null
                ? settings.http()
                : settings.http().withConnectTimeout(settings.fleet().connectTimeout());
    }

    /**
     * Returns an incarnation number, which is higher than those of earlier starts on the same host unless the host's
     * clock was set back.
     *
     * @param clock supplies the start time
     * @param seed distinguishes incarnations that start in the same millisecond
     * @return the incarnation number
     */
    private static long incarnation(Clock clock, long seed) {
        return clock.millis() * INCARNATIONS_PER_MILLISECOND + Math.floorMod(seed, INCARNATIONS_PER_MILLISECOND);
    }

    /**
     * Returns the timeout of a load probe, which is twice the connect timeout where backend servers announce
     * themselves.
     *
     * @param settings the settings of the gateway
     * @return the timeout
     */
    static Duration probeTimeout(GatewaySettings settings) {
        return settings.fleet() == null
                ? ServerChecks.HEALTH_CHECK_TIMEOUT
                : settings.fleet().connectTimeout().multipliedBy(2);
    }

    /**
     * Resolves an address to listen on.
     *
     * @param text the host name or IP address and the port
     * @return the resolved socket address
     */
    static InetSocketAddress listenAddress(String text) {
        InetSocketAddress address = BackendConnections.unresolvedAddress(text);
        return new InetSocketAddress(address.getHostString(), address.getPort());
    }
}
