package org.chivecourse.coordination.warmup;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import org.junit.jupiter.api.Test;

/** Guards against gateways whose views differ and that together send more than a cold backend server bears. */
class SenderElectionTest {

    private static final long SECOND = 1_000_000_000L;

    private static final int GATEWAYS = 124;

    private static final int SERVERS = 40;

    private static final double RATE = 1.9;

    /** The number of gateways that may send at once, each at most once a second. */
    private static final int BORNE = (int) (RATE * 1.5 + 8);

    /** Creates gateways that all started long ago and have heard those that a condition lets them hear. */
    private static List<SenderElection> elections(long now, BiPredicate<Integer, Integer> hears) {
        List<SenderElection> elections = new ArrayList<>();
        for (int own = 0; own < GATEWAYS; own++) {
            SenderElection election = new SenderElection("host-" + own, 0);
            for (int other = 0; other < GATEWAYS; other++) {
                if (other != own) {
                    election.recordDigest("host-" + other, GATEWAYS, hears.test(own, other) ? now : now - 10 * SECOND);
                }
            }
            elections.add(election);
        }
        return elections;
    }

    private static int senders(List<SenderElection> elections, String server, long now) {
        return (int) elections.stream()
                .filter(election -> election.takesPart(now) && election.senders(server, RATE, now) > 0)
                .count();
    }

    private static int mostSenders(List<SenderElection> elections, long now) {
        int most = 0;
        for (int server = 0; server < SERVERS; server++) {
            most = Math.max(most, senders(elections, "i-" + server, now));
        }
        return most;
    }

    @Test
    void gatewaysInTouchElectTheSameTwo() {
        List<SenderElection> elections = elections(60 * SECOND, (own, other) -> true);
        for (int server = 0; server < SERVERS; server++) {
            assertThat(senders(elections, "i-" + server, 60 * SECOND), equalTo(2));
        }
    }

    @Test
    void partsOfFleetElectNoMoreThanTheWhole() {
        for (int parts = 2; parts <= GATEWAYS; parts++) {
            int count = parts;
            List<SenderElection> elections = elections(60 * SECOND, (own, other) -> own % count == other % count);
            assertThat(parts + " parts", mostSenders(elections, 60 * SECOND), lessThanOrEqualTo(2));
        }
    }

    @Test
    void gatewaysWithRandomViewsElectFewMore() {
        SplittableRandom random = new SplittableRandom(1);
        for (int percentLost = 0; percentLost <= 100; percentLost += 5) {
            int lost = percentLost;
            List<SenderElection> elections = elections(60 * SECOND, (own, other) -> random.nextInt(100) >= lost);
            assertThat(lost + " % lost", mostSenders(elections, 60 * SECOND), lessThanOrEqualTo(BORNE));
        }
    }

    @Test
    void someStillSendAfterManyGatewaysEnded() {
        List<SenderElection> elections =
                elections(60 * SECOND, (own, other) -> other % 3 != 0).stream().toList();
        List<SenderElection> running = new ArrayList<>();
        for (int number = 0; number < GATEWAYS; number++) {
            if (number % 3 != 0) {
                running.add(elections.get(number));
            }
        }
        for (int server = 0; server < SERVERS; server++) {
            assertThat(senders(running, "i-" + server, 60 * SECOND), greaterThan(0));
        }
    }

    @Test
    void gatewayThatHasJustStartedElectsNobody() {
        SenderElection election = new SenderElection("host-1", 60 * SECOND);
        assertThat(election.takesPart(62 * SECOND), equalTo(false));
        assertThat(election.takesPart(63 * SECOND), equalTo(true));
        election.recordDigest("host-2", GATEWAYS, 63 * SECOND);
        assertThat("told of others", election.takesPart(63 * SECOND), equalTo(false));
    }

    @Test
    void gatewayThatStopsDoesNotCount() {
        SenderElection election = new SenderElection("host-1", 0);
        for (int number = 2; number < 6; number++) {
            election.recordDigest("host-" + number, 5, 9 * SECOND);
            election.recordStopping("host-" + number);
        }
        assertThat(election.takesPart(20 * SECOND), equalTo(true));
        assertThat(election.senders("i-1", RATE, 20 * SECOND), equalTo(1));
    }
}
