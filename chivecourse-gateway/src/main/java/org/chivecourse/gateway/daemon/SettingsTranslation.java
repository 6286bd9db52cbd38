package org.chivecourse.gateway.daemon;

import java.time.Clock;
import java.time.Duration;
import org.chivecourse.coordination.host.FleetSettings;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.gateway.settings.GatewaySettings;
import org.chivecourse.transport.http.HttpSettings;
import org.chivecourse.transport.http.ServerChecks;

/** Turns the settings of a gateway into those of its parts. */
final class SettingsTranslation {

    /** The number of lives that are told apart within a millisecond. */
    private static final long INCARNATIONS_PER_MILLISECOND = 1000;

    /** Not to be constructed. */
    private SettingsTranslation() {}

    /**
     * Returns what the decision core knows of its host.
     *
     * @param settings the settings
     * @param seed tells lives of the same millisecond apart
     * @param clock tells the time
     * @return the settings of the core
     */
    static HostSettings hostSettings(GatewaySettings settings, long seed, Clock clock) {
        FleetSettings fleet = settings.fleet() == null
                ? FleetSettings.NONE
                : new FleetSettings(
                        settings.peers().address(),
                        settings.fleet().seeds(),
                        settings.fleet().retryBudget(),
                        settings.fleet().probeInterval().toNanos());
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
     * Returns the bounds on connections, with the shorter time to connect where backend servers announce themselves.
     *
     * @param settings the settings
     * @return the bounds
     */
    static HttpSettings httpSettings(GatewaySettings settings) {
        return settings.fleet() == null
                ? settings.http()
                : settings.http().withConnectTimeout(settings.fleet().connectTimeout());
    }

    /**
     * Returns the number of this life, which is higher than those of earlier ones on the same host.
     *
     * @param clock tells the time
     * @param seed tells lives of the same millisecond apart
     * @return the number
     */
    private static long incarnation(Clock clock, long seed) {
        return clock.millis() * INCARNATIONS_PER_MILLISECOND + Math.floorMod(seed, INCARNATIONS_PER_MILLISECOND);
    }

    /**
     * Returns the longest time for which a look at a backend server may take.
     *
     * @param settings the settings
     * @return the time, shorter where backend servers announce themselves
     */
    static Duration probeTimeout(GatewaySettings settings) {
        return settings.fleet() == null
                ? ServerChecks.HEALTH_CHECK_TIMEOUT
                : settings.fleet().connectTimeout().multipliedBy(2);
    }
}
