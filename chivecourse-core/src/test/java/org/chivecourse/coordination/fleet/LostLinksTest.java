package org.chivecourse.coordination.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against callers that are not served because their gateway has lost its links to backend servers. */
class LostLinksTest {

    private static final int HOSTS = 13;

    private static final int SERVERS = 14;

    private static final int SEEDS = 3;

    /** The time after the cut from which callers are counted, as the platform states. */
    private static final long ADAPTATION_MILLISECONDS = 3000;

    private static final long MILLISECONDS = 9000;

    /** The share of what other gateways serve that a gateway without links serves at least, as the platform states. */
    private static final double SERVED_RATIO = 2.0 / 3;

    /** The number of failures at gateways without links that the platform allows, and its share of all requests. */
    private static final int ALLOWED_FAILURES = 10;

    private static final double ALLOWED_FAILURE_SHARE = 1.0 / 50;

    /** The share of requests that gateways with links serve, below which they are taken to be harmed by the others. */
    private static final double UNHARMED_SHARE = 0.95;

    private static void assertServed(int hosts, long seed, LinkLoss loss, IntPredicate cut) {
        BackendSimulation simulation = new BackendSimulation(hosts, SERVERS, seed);
        simulation.run(3000, elapsed -> {});
        setLinkLoss(simulation, hosts, loss, cut);
        simulation.run(ADAPTATION_MILLISECONDS, elapsed -> {});
        simulation.clearOutcomes();
        simulation.run(MILLISECONDS, elapsed -> {});
        assertServed("seed " + seed + ", " + loss, simulation, cut);
    }

    private static void setLinkLoss(BackendSimulation simulation, int hosts, LinkLoss loss, IntPredicate cut) {
        for (int number = 0; number < hosts; number++) {
            if (cut.test(number)) {
                simulation.setLinkLoss(number, loss);
            }
        }
    }

    private static void assertServed(String reason, BackendSimulation simulation, IntPredicate cut) {
        CallerOutcomes atCut = simulation.outcomes(cut);
        CallerOutcomes atOthers = simulation.outcomes(cut.negate());
        int arrived = atCut.arrived() + atOthers.arrived();
        boolean servedAlike = atCut.servedShare() >= SERVED_RATIO * atOthers.servedShare();
        boolean fewFailures = atCut.failed() <= ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * arrived;
        String shares = reason + ": " + atCut.servedShare() + " against " + atOthers.servedShare();
        assertThat(shares, servedAlike || fewFailures, equalTo(true));
        assertThat(shares, atOthers.servedShare(), greaterThanOrEqualTo(UNHARMED_SHARE));
    }

    @ParameterizedTest
    @EnumSource(LinkLoss.class)
    void servesAtMostGatewaysOfEachDataCentre(LinkLoss loss) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            assertServed(HOSTS, seed, loss, number -> number < 8);
        }
    }

    @ParameterizedTest
    @EnumSource(LinkLoss.class)
    void servesAtAllGatewaysOfDataCentre(LinkLoss loss) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            assertServed(HOSTS, seed, loss, number -> number % 3 == 1);
        }
    }

    @ParameterizedTest
    @EnumSource(LinkLoss.class)
    void servesAtSingleGateway(LinkLoss loss) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            assertServed(HOSTS, seed, loss, number -> number == 4);
        }
    }

    @ParameterizedTest
    @EnumSource(LinkLoss.class)
    void servesInDataCentresWithMoreGatewaysThanBridges(LinkLoss loss) {
        assertServed(36, 1, loss, number -> number % 2 == 0);
    }

    @ParameterizedTest
    @EnumSource(LinkLoss.class)
    void takesNoServerForEndedWhileLinksAreLost(LinkLoss loss) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            BackendSimulation simulation = new BackendSimulation(HOSTS, SERVERS, seed);
            simulation.run(3000, elapsed -> {});
            setLinkLoss(simulation, HOSTS, loss, number -> number < 8);
            simulation.run(MILLISECONDS, elapsed -> {});
            assertThat("seed " + seed, simulation.countServersTakenForEnded(), equalTo(0));
        }
    }

    @Test
    void servesAtGatewayThatStartsWithoutLinks() {
        BackendSimulation simulation = new BackendSimulation(HOSTS, SERVERS, 1);
        setLinkLoss(simulation, HOSTS, LinkLoss.HANGING, number -> number == 4);
        simulation.restart(4);
        simulation.run(ADAPTATION_MILLISECONDS, elapsed -> {});
        simulation.clearOutcomes();
        simulation.run(MILLISECONDS, elapsed -> {});
        assertServed("restart", simulation, number -> number == 4);
    }

    /** Gateways that are no bridges know only those of their own data centre, all of which are cut. */
    @Test
    void gatewayWithoutAnyWayTakesNoCallersUntilItsLinksAreBack() {
        BackendSimulation simulation = new BackendSimulation(36, SERVERS, 1);
        IntPredicate cut = number -> number % 3 == 1;
        simulation.run(FleetPeers.REMOTE_PEER_TIMEOUT_NANOSECONDS / 1_000_000 + 1000, elapsed -> {});
        setLinkLoss(simulation, 36, LinkLoss.HANGING, cut);
        simulation.run(ADAPTATION_MILLISECONDS, elapsed -> {});
        assertThat(simulation.countTakingCallers(cut), lessThanOrEqualTo(BridgeElection.BRIDGES_PER_DATA_CENTRE));
        assertThat(simulation.countTakingCallers(cut.negate()), equalTo(24));
        setLinkLoss(simulation, 36, null, cut);
        simulation.run(1000, elapsed -> {});
        assertThat(simulation.countTakingCallers(number -> true), equalTo(36));
    }

    @Test
    void servesThroughTwoCutsInARow() {
        BackendSimulation simulation = new BackendSimulation(HOSTS, SERVERS, 1);
        IntPredicate cut = number -> number < 6;
        for (int round = 0; round < 2; round++) {
            setLinkLoss(simulation, HOSTS, LinkLoss.HANGING, cut);
            simulation.run(ADAPTATION_MILLISECONDS, elapsed -> {});
            simulation.clearOutcomes();
            simulation.run(MILLISECONDS, elapsed -> {});
            assertServed("round " + round, simulation, cut);
            setLinkLoss(simulation, HOSTS, null, cut);
            simulation.run(1000, elapsed -> {});
        }
    }
}
