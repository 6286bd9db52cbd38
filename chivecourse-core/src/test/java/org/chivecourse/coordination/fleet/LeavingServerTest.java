package org.chivecourse.coordination.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Guards against requests to backend servers whose answers have said that they leave. */
class LeavingServerTest {

    private static final int HOSTS = 13;

    private static final int SERVERS = 14;

    private static final int SEEDS = 5;

    private static final long MILLISECONDS = 12_000;

    private static final String LEAVING_SERVER = "i1";

    private static final String DATA_CENTRE = "dc-1";

    private static void assertDrained(Consumer<BackendSimulation> preparation, Disruption disruption) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            BackendSimulation simulation = new BackendSimulation(HOSTS, SERVERS, seed);
            preparation.accept(simulation);
            simulation.run(2000, elapsed -> {});
            simulation.statements().setLeaving(LEAVING_SERVER, true);
            simulation.run(MILLISECONDS, elapsed -> disruption.apply(simulation, elapsed));
            assertThat(
                    "seed " + seed,
                    simulation.statements().countToldOfLeaving(LEAVING_SERVER),
                    greaterThanOrEqualTo(1));
            assertThat("seed " + seed, simulation.statements().countRequestsAfterLeaving(), equalTo(0));
        }
    }

    @Test
    void sendsNothingToServerThatSaysItLeaves() {
        assertDrained(simulation -> {}, (simulation, elapsed) -> {});
    }

    @Test
    void sendsNothingToServerWhoseErrorsSayItLeaves() {
        assertDrained(simulation -> simulation.errorShare = 0.3, (simulation, elapsed) -> {});
    }

    @Test
    void sendsNothingToServerWhoseAnnouncementLapsesAndReturns() {
        assertDrained(simulation -> {}, (simulation, elapsed) -> {
            if (elapsed == 1000 || elapsed == 5000) {
                simulation.announce(LEAVING_SERVER, DATA_CENTRE, null);
            } else if (elapsed == 2500 || elapsed == 6000) {
                simulation.announce(LEAVING_SERVER, DATA_CENTRE, "ready");
            }
        });
    }

    @Test
    void sendsNothingToServerThatIsAnnouncedAsReadyAgain() {
        assertDrained(simulation -> {}, (simulation, elapsed) -> {
            if (elapsed == 1000 || elapsed == 3000) {
                simulation.announce(LEAVING_SERVER, DATA_CENTRE, elapsed == 1000 ? "leaving" : "ready");
            }
        });
    }

    @Test
    void sendsNothingToServerWhoseLaterAnswersSayNothing() {
        assertDrained(simulation -> {}, (simulation, elapsed) -> {
            if (elapsed == 500) {
                simulation.statements().setLeaving(LEAVING_SERVER, false);
            }
        });
    }

    @Test
    void sendsNothingWhileGatewaysRestart() {
        assertDrained(simulation -> {}, (simulation, elapsed) -> {
            if (elapsed % 900 == 300) {
                simulation.restart((int) (elapsed / 900) % HOSTS);
            }
        });
    }

    /** Other gateways learn of it, so that few requests are sent to the server that only it can still serve. */
    @Test
    void tellsOtherGatewaysOfServerThatLeaves() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            BackendSimulation simulation = new BackendSimulation(HOSTS, SERVERS, seed);
            simulation.run(2000, elapsed -> {});
            simulation.statements().setLeaving(LEAVING_SERVER, true);
            simulation.run(MILLISECONDS, elapsed -> {});
            assertThat(
                    "seed " + seed,
                    simulation.statements().countReceived(LEAVING_SERVER, simulation.now() - (MILLISECONDS - 2000)),
                    equalTo(0L));
        }
    }

    /** A process that starts under the identity of one that left is in service. */
    @Test
    void sendsToServerThatStartsAgain() {
        BackendSimulation simulation = new BackendSimulation(HOSTS, SERVERS, 1);
        simulation.run(2000, elapsed -> {});
        simulation.statements().setLeaving(LEAVING_SERVER, true);
        simulation.run(4000, elapsed -> {});
        simulation.statements().setLeaving(LEAVING_SERVER, false);
        simulation.startAgain(LEAVING_SERVER, DATA_CENTRE);
        simulation.run(6000, elapsed -> {});
        assertThat(
                simulation.statements().countReceived(LEAVING_SERVER, simulation.now() - 4000),
                greaterThanOrEqualTo(1L));
    }

    @Test
    void refusesAtOnceIfAllServersSayTheyLeave() {
        BackendSimulation simulation = new BackendSimulation(HOSTS, SERVERS, 1);
        simulation.run(2000, elapsed -> {});
        simulation.statements().setAllLeaving();
        simulation.run(MILLISECONDS, elapsed -> {});
        assertThat(simulation.statements().countRequestsAfterLeaving(), equalTo(0));
        assertThat(simulation.refusedLate, lessThanOrEqualTo(simulation.refusedUnsent / 20));
    }

    /** Disturbs a simulation at a time. */
    @FunctionalInterface
    private interface Disruption {

        void apply(BackendSimulation simulation, long elapsedMilliseconds);
    }
}
