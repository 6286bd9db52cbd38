package org.chivecourse.coordination.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.function.Consumer;
import org.chivecourse.coordination.fleet.CrashingRequestSimulation.ServerEnd;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that go on ending backend servers when several copies of them arrive at once at different
 * gateways while other backend servers end.
 */
class CrashingRequestWavesTest {

    private static final int HOSTS = 13;

    private static final int SERVERS = 14;

    private static final int FEW_SERVERS = 6;

    private static final int SEEDS = 5;

    private static final long MILLISECONDS = 30_000;

    private static void assertRecognized(Consumer<CrashingRequestScene> change) {
        assertRecognized(SERVERS, change);
    }

    private static void assertRecognized(int servers, Consumer<CrashingRequestScene> change) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            CrashingRequestScene scene = waves(servers, seed);
            change.accept(scene);
            scene.assertRecognized(MILLISECONDS);
        }
    }

    private static CrashingRequestScene waves(int servers, long seed) {
        CrashingRequestScene scene = new CrashingRequestScene(HOSTS, servers, seed);
        scene.simulation.copies = 6;
        scene.simulation.repeatMilliseconds = 1600;
        scene.simulation.runMilliseconds = 90;
        scene.simulation.replacementMilliseconds = 3000;
        return scene;
    }

    @Test
    void recognizesFrequentWavesWhileOtherServersEnd() {
        assertRecognized(scene -> {
            scene.simulation.repeatMilliseconds = 300;
            scene.endOtherServers(2, 800, 6000);
        });
    }

    @Test
    void recognizesWavesWhileOtherServersEnd() {
        assertRecognized(scene -> scene.endOtherServers(2, 800, MILLISECONDS));
    }

    @Test
    void recognizesWavesWhileServersEndSilently() {
        assertRecognized(scene -> {
            scene.simulation.maximumReturns = 0;
            scene.simulation.serverEnd = ServerEnd.SILENT;
            scene.endOtherServers(2, 800, MILLISECONDS);
        });
    }

    @Test
    @Tag("known-red")
    void recognizesWavesWhileServersEndSilentlyAndCallersComeBack() {
        assertRecognized(scene -> {
            scene.simulation.serverEnd = ServerEnd.SILENT;
            scene.endOtherServers(2, 800, MILLISECONDS);
        });
    }

    @Test
    void recognizesWavesOfOrdersWhileOtherServersEnd() {
        assertRecognized(scene -> {
            scene.idempotent = false;
            scene.endOtherServers(2, 800, MILLISECONDS);
        });
    }

    @Test
    void recognizesWavesAtFewServersThatEndSilently() {
        assertRecognized(FEW_SERVERS, scene -> scene.simulation.serverEnd = ServerEnd.SILENT);
    }

    @Test
    void recognizesWavesWithNothingElse() {
        assertRecognized(scene -> {});
    }

    @Test
    void recognizesWavesWithNothingElseWhoseServersEndSilently() {
        assertRecognized(scene -> scene.simulation.serverEnd = ServerEnd.SILENT);
    }

    @Test
    void recognizesWavesWhileConnectionsOfRunningServersAreReset() {
        assertRecognized(scene -> scene.simulation.resetShare = 0.1);
    }

    @Test
    void recognizesWavesWhileGatewaysRestart() {
        assertRecognized(scene -> scene.disruption = elapsed -> {
            if (elapsed % 700 == 300) {
                scene.simulation.restart((int) (elapsed / 700) % HOSTS);
            }
        });
    }

    @Test
    void recognizesWavesWhileDigestsAreLost() {
        assertRecognized(scene -> scene.simulation.network().setDigestLoss(0.3));
    }

    /** Gateways that took their links for lost proved no end of a server and told nobody. */
    @Test
    void takesNoLinksForLostWhenServersEnd() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            CrashingRequestScene scene = waves(SERVERS, seed);
            scene.simulation.run(scene.crashingRequests, scene.idempotent, MILLISECONDS, scene.disruption);
            assertThat("seed " + seed, scene.simulation.linksTakenForLost, equalTo(0));
        }
    }
}
