package org.chivecourse.coordination.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.coordination.choice.ChoicePolicy;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.health.HealthCheckResult;
import org.chivecourse.coordination.host.CoreHarness;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.state.server.LeavingCause;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs hosts that exchange digests over a network with message loss, delays, partitions, pauses and restarts. Guards
 * against configurations and reports of leaving servers and blocked requests that do not reach every host in time, and
 * against hosts that return to an older configuration.
 */
class PeerExchangeTest {

    private static final int FLEET_SIZE = 14;

    /** The time after which a configuration that one host has read must be in force on all hosts. */
    private static final long PROPAGATION_LIMIT_MILLISECONDS = 4000;

    /** The time after which a leaving backend server must receive no new request from any host. */
    private static final long DRAIN_LIMIT_MILLISECONDS = 3000;

    /** The maximum number of digest bytes that a host may send per second. */
    private static final long MAXIMUM_CONTROL_BYTES_PER_SECOND = 6 * 1024;

    private static PeerNetwork joinedNetwork(int size, long seed) {
        PeerNetwork network = new PeerNetwork(size, seed);
        network.names().forEach(name -> network.readConfiguration(name, PeerNetwork.configuration(1)));
        network.advance(5000);
        return network;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void configurationReachesAllHostsDespiteMessageLoss(long seed) {
        PeerNetwork network = joinedNetwork(FLEET_SIZE, seed);
        network.setLossShare(0.2);
        network.readConfiguration("host-3", PeerNetwork.configuration(2));
        network.advance(PROPAGATION_LIMIT_MILLISECONDS);
        assertThat(network.allHaveRevision(2), equalTo(true));
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 14, 64, 128})
    void configurationReachesAllHostsInFleetsOfAnySize(int size) {
        PeerNetwork network = joinedNetwork(size, 9);
        network.readConfiguration("host-1", PeerNetwork.configuration(2));
        network.advance(PROPAGATION_LIMIT_MILLISECONDS);
        assertThat(network.allHaveRevision(2), equalTo(true));
    }

    @Test
    void healedPartitionsConvergeOnNewestConfiguration() {
        PeerNetwork network = joinedNetwork(FLEET_SIZE, 6);
        Set<String> firstPart = Set.of("host-0", "host-1", "host-2", "host-3", "host-4");
        network.setConnectivity((from, to) -> firstPart.contains(from) == firstPart.contains(to));
        network.readConfiguration("host-0", PeerNetwork.configuration(2));
        network.readConfiguration("host-9", PeerNetwork.configuration(3));
        network.advance(60_000);
        assertThat(network.core("host-4").configurations().revision(), equalTo(2L));
        assertThat(network.core("host-13").configurations().revision(), equalTo(3L));
        network.setConnectivity((from, to) -> true);
        network.advance(PROPAGATION_LIMIT_MILLISECONDS);
        assertThat(network.allHaveRevision(3), equalTo(true));
    }

    /** Only the messages of the host are lost, so that it receives digests but the pulls that it starts fail. */
    @Test
    void hostThatCannotSendCatchesUpOnceReconnected() {
        PeerNetwork network = joinedNetwork(FLEET_SIZE, 7);
        network.setConnectivity((from, to) -> !from.equals("host-5"));
        network.readConfiguration("host-0", PeerNetwork.configuration(2));
        network.advance(10_000);
        network.setConnectivity((from, to) -> true);
        network.advance(PROPAGATION_LIMIT_MILLISECONDS);
        assertThat(network.allHaveRevision(2), equalTo(true));
    }

    @Test
    void conflictingConfigurationsOfOneRevisionConvergeAndAreReported() {
        PeerNetwork network = joinedNetwork(FLEET_SIZE, 8);
        network.readConfiguration("host-2", PeerNetwork.configuration(2, CoreHarness.jobsService(4)));
        network.readConfiguration("host-11", PeerNetwork.configuration(2, CoreHarness.jobsService(5)));
        network.advance(PROPAGATION_LIMIT_MILLISECONDS);
        assertThat(network.configurationDigests(), hasSize(1));
        boolean reported = network.names().stream()
                .anyMatch(
                        name -> !network.core(name).configurations().conflict().isEmpty());
        assertThat(reported, equalTo(true));
    }

    @Test
    void restartedHostNeverServesOlderConfiguration() {
        PeerNetwork network = joinedNetwork(FLEET_SIZE, 10);
        network.readConfiguration("host-0", PeerNetwork.configuration(7));
        network.advance(PROPAGATION_LIMIT_MILLISECONDS);
        network.start("host-6");
        network.readConfiguration("host-6", PeerNetwork.configuration(3));
        for (int step = 0; step < 600; step++) {
            network.advance(5);
            if (network.core("host-6").serves(network.now())) {
                assertThat(network.core("host-6").configurations().revision(), equalTo(7L));
            }
        }
        assertThat(network.core("host-6").serves(network.now()), equalTo(true));
    }

    @Test
    void hostThatHasNotJoinedRefusesCalls() {
        PeerNetwork network = joinedNetwork(3, 11);
        network.start("host-1");
        network.readConfiguration("host-1", PeerNetwork.configuration(1));
        List<Decision> decisions = new ArrayList<>();
        network.core("host-1")
                .handle(
                        new Event.CallArrived(1, new Arrival(Method.POST, "/jobs/orders")),
                        network.now(),
                        decisions::add);
        assertThat(decisions, hasSize(1));
        assertThat(decisions.get(0) instanceof Decision.Refuse, equalTo(true));
    }

    @Test
    void resumedHostDoesNotRevertConfiguration() {
        PeerNetwork network = joinedNetwork(FLEET_SIZE, 12);
        network.pause("host-4");
        network.readConfiguration("host-0", PeerNetwork.configuration(5));
        network.advance(30_000);
        network.resume("host-4");
        network.advance(PROPAGATION_LIMIT_MILLISECONDS);
        assertThat(network.allHaveRevision(5), equalTo(true));
    }

    @Test
    void leavingServerIsKnownToAllHostsInTime() {
        PeerNetwork network = joinedNetwork(FLEET_SIZE, 13);
        network.deliver("host-2", new Event.HealthChecked("10.0.0.1:80", HealthCheckResult.LEAVING));
        network.advance(DRAIN_LIMIT_MILLISECONDS);
        network.names()
                .forEach(name -> assertThat(
                        name,
                        network.core(name).services().server("10.0.0.1:80").leavingCause(),
                        not(equalTo(LeavingCause.NONE))));
    }

    @Test
    void serverReturnsOnceLeavingReportsExpire() {
        PeerNetwork network = joinedNetwork(3, 14);
        network.deliver("host-2", new Event.HealthChecked("10.0.0.1:80", HealthCheckResult.LEAVING));
        network.advance(3000);
        network.start("host-2");
        network.readConfiguration("host-2", PeerNetwork.configuration(1));
        network.advance(20_000);
        network.names()
                .forEach(name -> assertThat(
                        network.core(name).services().server("10.0.0.1:80").leavingCause(),
                        equalTo(LeavingCause.NONE)));
    }

    @Test
    void blockedRequestIsBlockedOnAllHosts() {
        PeerNetwork network = joinedNetwork(FLEET_SIZE, 15);
        network.core("host-1")
                .poisonRequests()
                .block(99, network.now() + 60_000 * PeerNetwork.NANOSECONDS_PER_MILLISECOND, network.now());
        network.advance(PROPAGATION_LIMIT_MILLISECONDS);
        network.names()
                .forEach(name ->
                        assertThat(network.core(name).poisonRequests().blocked(99, network.now()), equalTo(true)));
    }

    @ParameterizedTest
    @ValueSource(ints = {14, 128})
    void digestBytesPerHostStayBoundedInAnyFleet(int size) {
        PeerNetwork network = joinedNetwork(size, 16);
        Service large = CoreHarness.jobsService(60);
        network.readConfiguration("host-0", PeerNetwork.configuration(2, large));
        network.advance(2000);
        for (int server = 1; server <= 40; server++) {
            network.deliver("host-0", new Event.HealthChecked("10.0.0." + server + ":80", HealthCheckResult.LEAVING));
        }
        network.clearSentBytes();
        network.advance(10_000);
        assertThat(network.maximumSentBytes() / 10, lessThanOrEqualTo(MAXIMUM_CONTROL_BYTES_PER_SECOND));
    }

    @Test
    void twoGatewaysPerDataCentreAndIsolatedGatewayWatch() {
        PeerNetwork network = joinedNetwork(FLEET_SIZE, 17);
        long watchers = network.names().stream()
                .filter(name -> isWatcher(network, name))
                .count();
        assertThat(watchers, equalTo(6L));
        network.setConnectivity((from, to) -> !from.equals("host-9") && !to.equals("host-9"));
        network.advance(10_000);
        assertThat(isWatcher(network, "host-9"), equalTo(true));
    }

    private static boolean isWatcher(PeerNetwork network, String name) {
        int index = Integer.parseInt(name.substring(name.indexOf('-') + 1));
        String dataCentre = "si-" + (char) ('a' + index % 3);
        return ConfigurationWatcherElection.INSTANCE.isWatcher(
                new HostSettings(
                        name, dataCentre, FLEET_SIZE, true, 1, HostSettings.KeyLimits.DEFAULT, ChoicePolicy.RANDOM, 1),
                network.core(name).membership(),
                network.now());
    }
}
