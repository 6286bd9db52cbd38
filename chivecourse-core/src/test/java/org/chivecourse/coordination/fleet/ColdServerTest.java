package org.chivecourse.coordination.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;
import org.chivecourse.configuration.model.WarmUp;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.warmup.WarmUpRegistry;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Guards against cold backend servers that get more requests, over all gateways together, than they bear. */
class ColdServerTest {

    private static final int GATEWAYS = 60;

    private static final int SERVERS = 14;

    private static final int SEEDS = 3;

    private static final long MILLISECONDS = 10_000;

    private static final long COLD_MILLISECONDS = 3000;

    private static final WarmUp WARM_UP = new WarmUp(Duration.ofMillis(COLD_MILLISECONDS), 1.9);

    /** The number of requests that a cold backend server bears in a second, as the platform states. */
    private static final int BORNE = (int) (1.9 * 1.5 + 8);

    /** A rate at which each backend server gets twice what a cold one bears. */
    private static final double BURST_REQUESTS_PER_SECOND = 300;

    /** A rate at which backend servers that are not yet known to be cold do not get too many requests. */
    private static final double FEW_REQUESTS_PER_SECOND = 40;

    /** The time after which a gateway takes itself for the only one. */
    private static final long ALONE_MILLISECONDS = 30_000;

    private static BackendSimulation simulation(int gateways, long seed) {
        BackendSimulation simulation = new BackendSimulation(gateways, SERVERS, seed);
        simulation.network().publish(SimulatedRoutes.configuration(3, 1000, WARM_UP));
        simulation.run(4000, elapsed -> {});
        return simulation;
    }

    /** Lets the backend servers of a data centre be down for 2 s, and come back cold. */
    private static LongConsumer coldReturn(BackendSimulation simulation) {
        return elapsed -> {
            if (elapsed == 1000 || elapsed == 3000) {
                for (int number = 0; number < SERVERS; number += 3) {
                    simulation.statements().setDown("i" + number, elapsed == 1000, simulation.now(), COLD_MILLISECONDS);
                }
            }
        };
    }

    private static void assertBorne(BackendSimulation simulation, long seed) {
        assertThat("seed " + seed, simulation.statements().largestWhileCold(), lessThanOrEqualTo(BORNE));
    }

    @Test
    void keepsBoundWhileDataCentreReturnsColdBesideBurst() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            BackendSimulation simulation = simulation(GATEWAYS, seed);
            simulation.requestsPerSecond = BURST_REQUESTS_PER_SECOND;
            simulation.run(MILLISECONDS, coldReturn(simulation));
            assertBorne(simulation, seed);
            assertThat("some while cold", simulation.statements().largestWhileCold(), greaterThan(0));
            assertThat(simulation.countChanges(Decision.Subject.SERVER_COLD), greaterThan(0));
        }
    }

    @Test
    void keepsBoundWhileGatewaysStartEndAndAreCutOff() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            BackendSimulation simulation = simulation(GATEWAYS, seed);
            simulation.requestsPerSecond = BURST_REQUESTS_PER_SECOND;
            SplittableRandom random = new SplittableRandom(seed);
            LongConsumer cold = coldReturn(simulation);
            simulation.run(MILLISECONDS, elapsed -> {
                cold.accept(elapsed);
                if (elapsed % 200 == 0) {
                    simulation.restart(random.nextInt(GATEWAYS));
                    simulation.setCutOff(random.nextInt(GATEWAYS), random.nextBoolean());
                }
            });
            assertBorne(simulation, seed);
        }
    }

    @Test
    void keepsBoundWhileAllGatewaysStartAndKnowNobody() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            BackendSimulation simulation = simulation(GATEWAYS, seed);
            simulation.requestsPerSecond = BURST_REQUESTS_PER_SECOND;
            LongConsumer cold = coldReturn(simulation);
            simulation.run(MILLISECONDS, elapsed -> {
                cold.accept(elapsed);
                for (int number = 0; number < GATEWAYS && elapsed == 2900; number++) {
                    simulation.restart(number);
                    simulation.setCutOff(number, number % 2 == 0);
                }
            });
            assertBorne(simulation, seed);
        }
    }

    @Test
    @Tag("known-red")
    void keepsBoundOfServersThatTurnColdAnew() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            BackendSimulation simulation = simulation(GATEWAYS, seed);
            SplittableRandom random = new SplittableRandom(seed);
            simulation.run(MILLISECONDS, elapsed -> {
                if (elapsed % 500 == 0) {
                    simulation
                            .statements()
                            .turnCold("i" + random.nextInt(SERVERS), simulation.now(), COLD_MILLISECONDS);
                }
            });
            assertBorne(simulation, seed);
        }
    }

    @Test
    void keepsBoundFromStartOfDataCentreThatGetsRequestsAgain() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            BackendSimulation simulation = simulation(GATEWAYS, seed);
            simulation.requestsPerSecond = BURST_REQUESTS_PER_SECOND;
            simulation.run(COLD_MILLISECONDS, elapsed -> {
                if (elapsed == 1000) {
                    for (int number = 0; number < SERVERS; number += 3) {
                        simulation.statements().turnCold("i" + number, simulation.now(), COLD_MILLISECONDS);
                    }
                    simulation
                            .network()
                            .cores()
                            .forEach(core -> core.services()
                                    .warmUps()
                                    .assumeCold(
                                            "dc-0",
                                            "taken back",
                                            simulation.network().now()));
                }
            });
            assertBorne(simulation, seed);
        }
    }

    @Test
    void forgetsStatementsThatNobodyNeeds() {
        BackendSimulation simulation = simulation(1, 1);
        simulation.statements().turnCold("i0", simulation.now(), COLD_MILLISECONDS);
        WarmUpRegistry warmUps = simulation.network().core(0).services().warmUps();
        simulation.run(1000, elapsed -> {});
        assertThat(warmUps.hasLocal(), equalTo(true));
        simulation.run(COLD_MILLISECONDS + 2500, elapsed -> {});
        assertThat(warmUps.hasLocal(), equalTo(false));
        assertThat(warmUps.pollRemote(SERVERS, simulation.network().now()), empty());
    }

    @Test
    void sendsToColdServersFromSingleGateway() {
        BackendSimulation simulation = simulation(1, 1);
        simulation.requestsPerSecond = FEW_REQUESTS_PER_SECOND;
        simulation.run(ALONE_MILLISECONDS, elapsed -> {});
        for (int number = 0; number < SERVERS; number++) {
            simulation.statements().turnCold("i" + number, simulation.now(), COLD_MILLISECONDS);
        }
        simulation.run(1000, elapsed -> {});
        long before = simulation.countReceived(1000);
        simulation.run(1500, elapsed -> {});
        assertBorne(simulation, 1);
        assertThat(before + simulation.countReceived(1500), greaterThan((long) SERVERS));
    }

    @Test
    void refusesAtOnceWhatColdServersLeaveNoPlaceFor() {
        BackendSimulation simulation = simulation(GATEWAYS, 1);
        for (int number = 0; number < SERVERS; number++) {
            simulation.statements().turnCold("i" + number, simulation.now(), COLD_MILLISECONDS);
        }
        simulation.run(1000, elapsed -> {});
        int late = simulation.refusedLate;
        int refused = simulation.refusedUnsent;
        simulation.run(1500, elapsed -> {});
        assertThat(simulation.refusedUnsent - refused, greaterThan(10 * (simulation.refusedLate - late)));
    }
}
