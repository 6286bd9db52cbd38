package org.chivecourse.coordination.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.event.Event;
import org.junit.jupiter.api.Test;

/**
 * Replays the first seconds of a fleet whose gateways start at the same time, as after a loss of all power. Guards
 * against gateways that spend them on calls, probes and refusals which they would not make if they knew each other.
 */
class FleetStartTest {

    private static final int HOSTS = 20;

    private static final int SERVERS = 34;

    private static final int WATCHERS = 2;

    private static final long REGISTRATION_INTERVAL_MILLISECONDS = 150;

    private static final long PATIENCE_MILLISECONDS = 2000;

    private static Event.CallArrived lookup(long call, String path, long grantedMilliseconds) {
        long granted = grantedMilliseconds * FleetNetwork.NANOSECONDS_PER_MILLISECOND;
        return new Event.CallArrived(
                call, new Arrival(Method.GET, path, granted, 0, true, "", -1, call, "jobs.example"));
    }

    private static <T extends Decision> List<T> decisions(FleetNetwork network, int number, Class<T> type) {
        return network.decisions(number).stream()
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    private static FleetNetwork fleetWithServers() {
        FleetNetwork network = new FleetNetwork(HOSTS);
        for (int server = 1; server <= SERVERS; server++) {
            network.publish(TextDecoder.server("i" + server, 0, "ready"));
        }
        return network;
    }

    @Test
    void fewGatewaysWatchWhileBackendServersRegister() {
        FleetNetwork network = new FleetNetwork(HOSTS);
        network.advance(4500);
        for (int number = 0; number < HOSTS; number++) {
            network.clearDecisions();
        }
        Set<Integer> watching = new TreeSet<>();
        int calls = network.publisherCalls;
        for (int server = 1; server <= SERVERS; server++) {
            network.publish(TextDecoder.server("i" + server, 0, "ready"));
            network.advance(REGISTRATION_INTERVAL_MILLISECONDS);
        }
        for (int number = 0; number < HOSTS; number++) {
            if (!decisions(network, number, Decision.WatchPublication.class).isEmpty()) {
                watching.add(number);
            }
        }
        assertThat(watching.size(), lessThanOrEqualTo(WATCHERS));
        assertThat(network.publisherCalls - calls, lessThanOrEqualTo(WATCHERS * SERVERS));
    }

    @Test
    void eachGatewayListsOnceAtStartAndFewWatch() {
        FleetNetwork network = fleetWithServers();
        network.advance(600);
        assertThat(network.publisherCalls, lessThanOrEqualTo(HOSTS + WATCHERS));
    }

    @Test
    void gatewaysWithoutPublisherRetryRarelyWhileOthersReachIt() {
        FleetNetwork network = fleetWithServers();
        network.advance(5000);
        int turnedAway = HOSTS / 3;
        for (int number = 0; number < turnedAway; number++) {
            network.setDisconnectedFromPublisher(number, true);
            network.handle(FleetNetwork.name(number), new Event.PublicationFailed(0, false, "turned away"));
        }
        network.advance(1000);
        int calls = network.publisherCalls;
        network.advance(9000);
        assertThat(network.publisherCalls - calls, lessThanOrEqualTo(6 * WATCHERS + 4 * turnedAway));
    }

    /** A gateway that does not know the others yet would probe all backend servers, and so would all others. */
    @Test
    void noGatewayProbesBeforeItKnowsTheOthers() {
        FleetNetwork network = fleetWithServers();
        network.advance(250);
        List<Decision.Probe> probes = new ArrayList<>();
        for (int number = 0; number < HOSTS; number++) {
            probes.addAll(decisions(network, number, Decision.Probe.class));
        }
        assertThat(probes, empty());
        network.advance(800);
        for (int number = 0; number < HOSTS; number++) {
            probes.addAll(decisions(network, number, Decision.Probe.class));
        }
        Set<String> probed = new TreeSet<>();
        probes.forEach(probe -> probed.add(probe.address()));
        assertThat(probed.size(), equalTo(SERVERS));
    }

    @Test
    void requestThatArrivesBeforeConfigurationIsSentWithIt() {
        FleetNetwork network = fleetWithServers();
        assertThat(network.handle("host-3", lookup(1, "/lookups/1", PATIENCE_MILLISECONDS)), empty());
        network.advance(100);
        assertThat(
                decisions(network, 3, Decision.Send.class).stream()
                        .map(Decision.Send::call)
                        .toList(),
                contains(1L));
        assertThat(decisions(network, 3, Decision.Refuse.class), empty());
    }

    @Test
    void requestIsRefusedWhenConfigurationIsOverdue() {
        FleetNetwork network = fleetWithServers();
        network.setPublisherDown(true);
        network.handle("host-3", lookup(1, "/lookups/1", PATIENCE_MILLISECONDS));
        network.handle("host-3", lookup(2, "/lookups/2", 300));
        network.advance(200);
        assertThat(refusedCalls(network), contains(2L));
        network.advance(500);
        assertThat(refusedCalls(network), contains(2L, 1L));
        assertThat(
                decisions(network, 3, Decision.Refuse.class).get(0).refusal().reason(),
                equalTo(Reason.NO_CONFIGURATION));
    }

    private static List<Long> refusedCalls(FleetNetwork network) {
        return decisions(network, 3, Decision.Refuse.class).stream()
                .map(Decision.Refuse::call)
                .toList();
    }

    @Test
    void requestOfCallerThatLeftIsNotSent() {
        FleetNetwork network = fleetWithServers();
        network.handle("host-3", lookup(1, "/lookups/1", PATIENCE_MILLISECONDS));
        network.handle("host-3", new Event.CallerDisconnected(1));
        network.advance(100);
        assertThat(decisions(network, 3, Decision.Send.class), empty());
    }

    /** Callers that have been trying for long can hardly be answered within their target latency any more. */
    @Test
    void callersThatHaveJustBegunComeFirst() {
        FleetNetwork network = fleetWithServers();
        network.handle("host-3", lookup(1, "/lookups/1", 700));
        network.handle("host-3", lookup(2, "/lookups/2", PATIENCE_MILLISECONDS));
        network.advance(100);
        assertThat(
                decisions(network, 3, Decision.Send.class).stream()
                        .map(Decision.Send::call)
                        .toList(),
                contains(2L, 1L));
    }
}
