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
import org.chivecourse.coordination.health.HealthAnswer;
import org.chivecourse.coordination.host.CoreHarness;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.state.server.LeavingCause;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PeerExchangeTest {

    private static final int FLEET = 14;

    private static final long IN_FORCE_MILLISECONDS = 4000;

    private static final long DRAIN_MILLISECONDS = 3000;

    private static final long CONTROL_BYTES_PER_SECOND = 6 * 1024;

    private static PeerNetwork joined(int size, long seed) {
        PeerNetwork network = new PeerNetwork(size, seed);
        network.names().forEach(name -> network.read(name, PeerNetwork.configuration(1)));
        network.pass(5000);
        return network;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void aConfigurationThatOneHostReadsIsInForceEverywhereInTime(long seed) {
        PeerNetwork network = joined(FLEET, seed);
        network.lose(0.2);
        network.read("host-3", PeerNetwork.configuration(2));
        network.pass(IN_FORCE_MILLISECONDS);
        assertThat(network.allHave(2), equalTo(true));
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 14, 64, 128})
    void aConfigurationIsInForceInTimeInLargerFleets(int size) {
        PeerNetwork network = joined(size, 9);
        network.read("host-1", PeerNetwork.configuration(2));
        network.pass(IN_FORCE_MILLISECONDS);
        assertThat(network.allHave(2), equalTo(true));
    }

    @Test
    void partsOfAFleetThatMeetAgainConverge() {
        PeerNetwork network = joined(FLEET, 6);
        Set<String> left = Set.of("host-0", "host-1", "host-2", "host-3", "host-4");
        network.connect((from, to) -> left.contains(from) == left.contains(to));
        network.read("host-0", PeerNetwork.configuration(2));
        network.read("host-9", PeerNetwork.configuration(3));
        network.pass(60_000);
        assertThat(network.core("host-4").configurations().revision(), equalTo(2L));
        assertThat(network.core("host-13").configurations().revision(), equalTo(3L));
        network.connect((from, to) -> true);
        network.pass(IN_FORCE_MILLISECONDS);
        assertThat(network.allHave(3), equalTo(true));
    }

    @Test
    void aHostThatHearsAndIsNotHeardGetsTheConfigurationOnceItIsHeard() {
        PeerNetwork network = joined(FLEET, 7);
        network.connect((from, to) -> !from.equals("host-5"));
        network.read("host-0", PeerNetwork.configuration(2));
        network.pass(10_000);
        network.connect((from, to) -> true);
        network.pass(IN_FORCE_MILLISECONDS);
        assertThat(network.allHave(2), equalTo(true));
    }

    @Test
    void twoBodiesUnderOneRevisionLeadToOneEverywhereAndAreReported() {
        PeerNetwork network = joined(FLEET, 8);
        network.read("host-2", PeerNetwork.configuration(2, CoreHarness.jobsService(4)));
        network.read("host-11", PeerNetwork.configuration(2, CoreHarness.jobsService(5)));
        network.pass(IN_FORCE_MILLISECONDS);
        assertThat(network.digests(), hasSize(1));
        boolean reported = network.names().stream()
                .anyMatch(
                        name -> !network.core(name).configurations().conflict().isEmpty());
        assertThat(reported, equalTo(true));
    }

    @Test
    void aReplacedHostThatMeetsAStaleReplicaServesNothingOlder() {
        PeerNetwork network = joined(FLEET, 10);
        network.read("host-0", PeerNetwork.configuration(7));
        network.pass(IN_FORCE_MILLISECONDS);
        network.start("host-6");
        network.read("host-6", PeerNetwork.configuration(3));
        for (int step = 0; step < 600; step++) {
            network.pass(5);
            if (network.core("host-6").serves(network.now())) {
                assertThat(network.core("host-6").configurations().revision(), equalTo(7L));
            }
        }
        assertThat(network.core("host-6").serves(network.now()), equalTo(true));
    }

    @Test
    void aHostThatServesNotYetRefusesCallsAsNotRun() {
        PeerNetwork network = joined(3, 11);
        network.start("host-1");
        network.read("host-1", PeerNetwork.configuration(1));
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
    void aProcessThatIsWokenLateTakesNothingBack() {
        PeerNetwork network = joined(FLEET, 12);
        network.pause("host-4");
        network.read("host-0", PeerNetwork.configuration(5));
        network.pass(30_000);
        network.wake("host-4");
        network.pass(IN_FORCE_MILLISECONDS);
        assertThat(network.allHave(5), equalTo(true));
    }

    @Test
    void aServerThatOneHostSeesLeaveGetsNoNewWorkFromAnyHostInTime() {
        PeerNetwork network = joined(FLEET, 13);
        network.tell("host-2", new Event.HealthChecked("10.0.0.1:80", HealthAnswer.LEAVING));
        network.pass(DRAIN_MILLISECONDS);
        network.names()
                .forEach(name -> assertThat(
                        name,
                        network.core(name).services().server("10.0.0.1:80").leavingCause(),
                        not(equalTo(LeavingCause.NONE))));
    }

    @Test
    void aServerOfWhichNobodySaysAnyMoreThatItLeavesComesBack() {
        PeerNetwork network = joined(3, 14);
        network.tell("host-2", new Event.HealthChecked("10.0.0.1:80", HealthAnswer.LEAVING));
        network.pass(3000);
        network.start("host-2");
        network.read("host-2", PeerNetwork.configuration(1));
        network.pass(20_000);
        network.names()
                .forEach(name -> assertThat(
                        network.core(name).services().server("10.0.0.1:80").leavingCause(),
                        equalTo(LeavingCause.NONE)));
    }

    @Test
    void aConvictionHoldsOnEveryHost() {
        PeerNetwork network = joined(FLEET, 15);
        network.core("host-1").poison().convict(99, network.now() + 60_000 * PeerNetwork.MILLISECOND, network.now());
        network.pass(IN_FORCE_MILLISECONDS);
        network.names()
                .forEach(name -> assertThat(network.core(name).poison().convicted(99, network.now()), equalTo(true)));
    }

    @ParameterizedTest
    @ValueSource(ints = {14, 128})
    void theBytesOfAHostStayWithinTheirBudgetWhateverTheFleet(int size) {
        PeerNetwork network = joined(size, 16);
        Service large = CoreHarness.jobsService(60);
        network.read("host-0", PeerNetwork.configuration(2, large));
        network.pass(2000);
        for (int server = 1; server <= 40; server++) {
            network.tell("host-0", new Event.HealthChecked("10.0.0." + server + ":80", HealthAnswer.LEAVING));
        }
        network.forgetBytes();
        network.pass(10_000);
        assertThat(network.largestSentBytes() / 10, lessThanOrEqualTo(CONTROL_BYTES_PER_SECOND));
    }

    @Test
    void aFewGatewaysOfADataCentreWatchAndOneThatIsAloneWatches() {
        PeerNetwork network = joined(FLEET, 17);
        long watchers =
                network.names().stream().filter(name -> watches(network, name)).count();
        assertThat(watchers, equalTo(6L));
        network.connect((from, to) -> !from.equals("host-9") && !to.equals("host-9"));
        network.pass(10_000);
        assertThat(watches(network, "host-9"), equalTo(true));
    }

    private static boolean watches(PeerNetwork network, String name) {
        int index = Integer.parseInt(name.substring(name.indexOf('-') + 1));
        String dataCentre = "si-" + (char) ('a' + index % 3);
        return WatcherRule.INSTANCE.watches(
                new HostSettings(
                        name, dataCentre, FLEET, true, 1, HostSettings.KeyLimits.DEFAULT, ChoicePolicy.RANDOM, 1),
                network.core(name).membership(),
                network.now());
    }
}
