package org.chivecourse.coordination.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.oneOf;

import java.util.List;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.host.HostCore;
import org.chivecourse.coordination.measure.ProbeFinding;
import org.chivecourse.coordination.poison.PoisonRequests;
import org.chivecourse.state.fleet.Crash;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against crashes of backend servers that some gateways never learn of, and against false ones. */
class CrashReportTest {

    private static FleetNetwork startedFleet() {
        return FleetExchangeTest.startedFleet();
    }

    private static void recordCrash(FleetNetwork network, int host, long fingerprint, String server) {
        Crash crash = new Crash(fingerprint, server, network.now());
        network.core(host).services().recordCrash(crash);
        network.core(host).poisonRequests().recordCrash(crash, network.now());
    }

    /** A gateway that was frozen after a failed probe must not take the time that has passed for silence. */
    @Test
    void singleFailedProbeIsNoCrash() {
        FleetNetwork network = startedFleet();
        Arrival order = new Arrival(Method.POST, "/orders/1", 0, 0, true, "", -1, 77, "jobs.example");
        network.handle("host-3", new Event.CallArrived(1, order));
        network.handle("host-3", new Event.AttemptReady(1));
        network.advance(20);
        for (String server : List.of("i1", "i2")) {
            network.handle("host-3", new Event.ProbeEnded(server, true, null, 0, ProbeFinding.UNREACHABLE));
        }
        network.advance(4000);
        assertThat(findings(network, 3), everyItem(equalTo("possible")));
        network.advance(7000);
        assertThat(findings(network, 3), everyItem(oneOf("possible", "withdrawn")));
        assertThat(network.core(3).poisonRequests().failedServerCount(77), equalTo(0));
    }

    /** Returns what a gateway found about requests under which backend servers ended or may have ended. */
    private static List<String> findings(FleetNetwork network, int host) {
        return network.decisions(host).stream()
                .filter(Decision.Audit.class::isInstance)
                .map(decision -> ((Decision.Audit) decision).change())
                .filter(change -> change.subject() == Decision.Subject.REQUEST_SUSPECTED)
                .map(Decision.Change::to)
                .toList();
    }

    @Test
    void repeatsCrashWhoseFirstReportIsLost() {
        FleetNetwork network = startedFleet();
        network.setDigestLoss(1);
        recordCrash(network, 2, 77, "i1");
        network.advance(50);
        network.setDigestLoss(0);
        network.advance(1500);
        for (HostCore core : network.cores()) {
            assertThat(core.poisonRequests().failedServerCount(77), equalTo(1));
        }
    }

    /**
     * A report makes an end younger by the time that it travels, so that it came back as one after the answer, was
     * cleared, and was reported again without end.
     */
    @Test
    void reportsEndThatAnswerClearedNoLonger() {
        FleetNetwork network = startedFleet();
        long endedAt = network.now();
        recordCrash(network, 2, 77, "i1");
        network.advance(20);
        PoisonRequests answered = network.core(5).poisonRequests();
        answered.recordAnswer(77, endedAt + 2 * FleetNetwork.NANOSECONDS_PER_MILLISECOND, network.now());
        answered.recordCrash(
                new Crash(77, "i1", endedAt + 4 * FleetNetwork.NANOSECONDS_PER_MILLISECOND), network.now());
        network.advance(10_000);
        for (HostCore core : network.cores()) {
            assertThat(core.poisonRequests().failedServerCount(77), equalTo(0));
            assertThat(core.poisonRequests().crashesToShare(10, network.now()), empty());
            assertThat(core.poisonRequests().answersToShare(10, network.now()), empty());
        }
    }

    @Test
    void forwardsCrashFromEveryGatewayOfLargeDataCentres() {
        FleetNetwork network = new FleetNetwork(36);
        network.advance(4000);
        for (int host = 0; host < 36; host++) {
            recordCrash(network, host, 100 + host, "i" + host);
            network.advance(300);
        }
        network.advance(2500);
        for (HostCore core : network.cores()) {
            for (int host = 0; host < 36; host++) {
                assertThat("crash at host-" + host, core.poisonRequests().failedServerCount(100 + host), equalTo(1));
            }
        }
    }

    @Test
    void restartedGatewayLearnsEarlierCrashesOfRepeatedlySuspectedRequest() {
        FleetNetwork network = startedFleet();
        recordCrash(network, 2, 77, "i1");
        recordCrash(network, 2, 77, "i2");
        network.advance(20_000);
        network.kill(7);
        network.start(7);
        network.advance(2000);
        assertThat(network.core(7).poisonRequests().failedServerCount(77), equalTo(2));
    }

    /** Each gateway used to write each finding of each other one: 39 records for three ends in a fleet of 13. */
    @ParameterizedTest
    @ValueSource(ints = {13, 136})
    void writesAtMostOneRecordOfOthersFindingsAtEachGateway(int hosts) {
        FleetNetwork network = new FleetNetwork(hosts);
        network.advance(4000);
        network.clearDecisions();
        for (String server : List.of("i1", "i2", "i3")) {
            recordCrash(network, 2, 77, server);
            network.advance(1000);
        }
        int records = 0;
        for (int host = 0; host < hosts; host++) {
            assertThat(network.core(host).poisonRequests().blocked(77, network.now()), equalTo(true));
            records += findings(network, host).size();
        }
        assertThat(records, lessThan(hosts));
    }
}
