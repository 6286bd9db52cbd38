package org.chivecourse.coordination.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.measure.ProbeFinding;
import org.chivecourse.state.server.LoadReport;
import org.junit.jupiter.api.Test;

/**
 * Replays steady load on a fleet of more and more data centres. Guards against relays between data centres that cost
 * each of them more the more there are.
 */
class RelayedObservationsTest {

    private static final int GATEWAYS_PER_DATA_CENTRE = 4;

    private static final int SERVERS = 12;

    private static final int SECONDS = 2;

    private static final int REPORT_INTERVAL_MILLISECONDS = 20;

    /** The maximum factor by which the datagrams of a relay may grow when there are twice as many data centres. */
    private static final double MAXIMUM_GROWTH = 1.3;

    /** Returns the number of datagrams with observations that a relay sends to other data centres in a second. */
    private static double relayedDatagrams(int dataCentres) {
        int hosts = GATEWAYS_PER_DATA_CENTRE * dataCentres;
        FleetNetwork network = new FleetNetwork(
                hosts,
                false,
                new SpreadLinks(dataCentres),
                new TextDecoder(),
                List.of(FleetNetwork.configuration(1, 1)));
        for (int server = 1; server <= SERVERS; server++) {
            network.publish(TextDecoder.server("i" + server, 0, "ready", "dc-" + server % dataCentres));
        }
        network.advance(4000);
        network.clearDecisions();
        int server = 0;
        for (int passed = 0; passed < SECONDS * 1000; passed += REPORT_INTERVAL_MILLISECONDS) {
            server = server % SERVERS + 1;
            LoadReport report = new LoadReport(server % 4, 4, 100 + passed % 300);
            network.handle(
                    FleetNetwork.name(server % dataCentres),
                    new Event.ProbeEnded("i" + server, true, report, 1, ProbeFinding.SERVING));
            network.advance(REPORT_INTERVAL_MILLISECONDS);
        }
        int datagrams = 0;
        for (int number = 0; number < hosts; number++) {
            for (Decision decision : network.decisions(number)) {
                if (decision instanceof Decision.SendFleetDigest send
                        && !send.digest().observations().isEmpty()) {
                    datagrams += remote(number, send.addresses(), dataCentres);
                }
            }
        }
        return (double) datagrams / dataCentres / SECONDS;
    }

    private static int remote(int number, List<String> addresses, int dataCentres) {
        return (int) addresses.stream()
                .filter(address -> FleetNetwork.numberAt(address) % dataCentres != number % dataCentres)
                .count();
    }

    @Test
    void datagramsOfRelayDoNotGrowWithNumberOfDataCentres() {
        assertThat(relayedDatagrams(6), lessThanOrEqualTo(MAXIMUM_GROWTH * relayedDatagrams(3)));
    }
}
