package org.chivecourse.coordination.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.chivecourse.state.server.RequestLimit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Guards against backend servers that get more requests, over all gateways together, than the limit they state. */
class RequestLimitTest {

    private static final int HOSTS = 13;

    private static final int SERVERS = 14;

    private static final int SEEDS = 5;

    private static final long MILLISECONDS = 20_000;

    /** The time at the end of a run in which the use of limits is measured. */
    private static final long USE_MILLISECONDS = 10_000;

    /** The share of the limits that is used if more requests arrive. */
    private static final double USED_SHARE = 0.8;

    /** The share of refused requests that may wait first, since more urgent ones may take their place. */
    private static final double LATE_REFUSAL_SHARE = 0.1;

    private static void assertKept(Consumer<Scene> scene) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            assertKept(new Scene(HOSTS, seed), scene);
        }
    }

    private static void assertKept(Scene prepared, Consumer<Scene> scene) {
        scene.accept(prepared);
        prepared.simulation.run(MILLISECONDS, prepared.disruption);
        assertThat("seed " + prepared.seed, prepared.simulation.exceeded(), empty());
    }

    @Test
    void keepsLimitsOfTwoServersBesideUnlimitedOnes() {
        assertKept(scene -> {
            scene.simulation.limit("i1", new RequestLimit(1));
            scene.simulation.limit("i2", new RequestLimit(2.3));
        });
    }

    @Test
    void keepsLimitsOfAllServers() {
        assertKept(scene -> scene.simulation.limitAll(2));
    }

    @Test
    void keepsLargeLimitsOfAllServers() {
        assertKept(scene -> {
            scene.simulation.limitAll(6);
            scene.simulation.requestsPerSecond = 250;
        });
    }

    @Test
    void keepsLimitsWhileFewGatewaysGetMostRequests() {
        assertKept(scene -> {
            scene.simulation.limitAll(1.5);
            scene.simulation.skewedShare = 0.8;
        });
    }

    @Test
    void keepsLimitsWhileServersAnswerWithErrors() {
        assertKept(scene -> {
            scene.simulation.limitAll(2);
            scene.simulation.errorShare = 0.3;
        });
    }

    @Test
    void keepsLimitsWhileGatewaysRestart() {
        assertKept(scene -> {
            scene.simulation.limitAll(2);
            scene.disruption = elapsed -> {
                if (elapsed % 1500 == 300) {
                    scene.simulation.restart((int) (elapsed / 1500) % HOSTS);
                }
            };
        });
    }

    @Test
    void keepsLimitsWhileGatewaysAreCutOff() {
        assertKept(scene -> {
            scene.simulation.limitAll(2);
            scene.disruption = elapsed -> {
                if (elapsed == 5000 || elapsed == 12_000) {
                    for (int number = 0; number < 4; number++) {
                        scene.simulation.setCutOff(number, elapsed == 5000);
                    }
                }
            };
        });
    }

    @Test
    void keepsLimitsWhileDigestsAreLost() {
        assertKept(scene -> {
            scene.simulation.limitAll(2);
            scene.simulation.network().setDigestLoss(0.3);
        });
    }

    @Test
    void keepsLimitsInDataCentresWithMoreGatewaysThanBridges() {
        assertKept(new Scene(36, 1), scene -> scene.simulation.limitAll(1));
    }

    @Test
    void keepsLimitOfServerWhoseDataCentreHasNoGateway() {
        assertKept(scene -> {
            scene.simulation.startServer("lonely", "dc-without-gateways");
            scene.simulation.limitAll(1);
        });
    }

    @Test
    void keepsLimitThatIsStatedLater() {
        assertKept(scene -> scene.disruption = elapsed -> {
            if (elapsed == 8000) {
                scene.simulation.limit("i4", new RequestLimit(1.8));
            }
        });
    }

    @Test
    @Tag("known-red")
    void keepsLimitThatIsLowered() {
        assertKept(scene -> {
            scene.simulation.limitAll(8);
            scene.simulation.requestsPerSecond = 150;
            scene.disruption = elapsed -> {
                if (elapsed == 8000) {
                    scene.simulation.limitAll(1);
                }
            };
        });
    }

    /** The rest of the limits may be lost while gateways learn of each other's requests. */
    private static void assertUsed(Scene prepared, Consumer<Scene> scene) {
        assertKept(prepared, scene);
        double expected = prepared.simulation.requestsAllowedTogether(USE_MILLISECONDS) * USED_SHARE;
        long received = prepared.simulation.countReceived(USE_MILLISECONDS);
        assertThat("seed " + prepared.seed, (double) received, greaterThanOrEqualTo(expected));
    }

    @Test
    void usesLimitsOfAllServers() {
        assertUsed(new Scene(HOSTS, 1), scene -> scene.simulation.limitAll(2));
    }

    @Test
    void usesSmallLimitsOfAllServers() {
        assertUsed(new Scene(HOSTS, 1), scene -> scene.simulation.limitAll(0.5));
    }

    @Test
    void usesLargeLimitsOfAllServers() {
        assertUsed(new Scene(HOSTS, 1), scene -> {
            scene.simulation.limitAll(8);
            scene.simulation.requestsPerSecond = 200;
        });
    }

    @Test
    void usesLimitsWhileFewGatewaysGetMostRequests() {
        assertUsed(new Scene(HOSTS, 1), scene -> {
            scene.simulation.limitAll(2);
            scene.simulation.skewedShare = 0.9;
        });
    }

    @Test
    void usesLimitsInDataCentresWithMoreGatewaysThanBridges() {
        assertUsed(new Scene(36, 1), scene -> scene.simulation.limitAll(2));
    }

    @Test
    void refusesAtOnceWhatLimitsLeaveNoPlaceFor() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            BackendSimulation simulation = new BackendSimulation(HOSTS, SERVERS, seed);
            simulation.limitAll(2);
            simulation.run(MILLISECONDS, elapsed -> {});
            double lateShare = (double) simulation.refusedLate / simulation.refusedUnsent;
            assertThat("seed " + seed, lateShare, lessThanOrEqualTo(LATE_REFUSAL_SHARE));
        }
    }

    @Test
    void probesLimitedServerOnceASecond() {
        Scene scene = new Scene(HOSTS, 1);
        scene.simulation.limit("i1", new RequestLimit(0.5));
        scene.simulation.run(1000, scene.disruption);
        int before = scene.simulation.countProbes("i1");
        scene.simulation.run(MILLISECONDS, scene.disruption);
        assertThat(scene.simulation.countProbes("i1") - before, lessThanOrEqualTo((int) MILLISECONDS / 1000 + 1));
    }

    /** What happens beside the limits. */
    private static final class Scene {

        private final long seed;

        private final BackendSimulation simulation;

        private LongConsumer disruption = elapsed -> {};

        Scene(int hosts, long seed) {
            this.seed = seed;
            simulation = new BackendSimulation(hosts, SERVERS, seed);
        }
    }
}
