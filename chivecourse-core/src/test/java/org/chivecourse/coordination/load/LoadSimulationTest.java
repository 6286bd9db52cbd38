package org.chivecourse.coordination.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.function.ToDoubleFunction;
import org.chivecourse.coordination.choice.ChoicePolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a choice of servers or an order of the queue that lets too few callers get an answer in time.
 * Simulates loads near and beyond the capacity of the backend servers, where these matter most.
 */
class LoadSimulationTest {

    private static final int SERVERS = 14;

    private static final int SEEDS = 5;

    private static LoadSimulation simulateBurst(ChoicePolicy policy, long seed, double requestsPerSecond) {
        LoadSimulation simulation = new LoadSimulation(policy, SERVERS, seed);
        simulation.run(75, 3_000);
        simulation.run(requestsPerSecond, 5_000);
        simulation.run(75, 3_000);
        return simulation;
    }

    /**
     * The maximum share of late lookups, relative to a policy that ignores reported slowness or does not bound
     * concurrency.
     */
    private static final double MAXIMUM_LATE_SHARE_RATIO = 0.6;

    /** The minimum share of answers in time of a fleet, relative to a single gateway that receives the whole load. */
    private static final double MINIMUM_FLEET_SHARE_RATIO = 0.7;

    private static double lateShare(LoadSimulation simulation) {
        return 1 - simulation.results("lookups").withinTargetShare();
    }

    /** Averages over several seeds, since one run contains only a few hundred lookups. */
    private static double averageLateShare(ChoicePolicy policy, double requestsPerSecond) {
        double sum = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            sum += lateShare(simulateBurst(policy, seed, requestsPerSecond));
        }
        return sum / SEEDS;
    }

    @Test
    void reportedSlownessReducesLateLookups() {
        double informed = averageLateShare(ChoicePolicy.EARLIEST_FINISH, 75);
        assertThat(informed, lessThan(MAXIMUM_LATE_SHARE_RATIO * averageLateShare(ChoicePolicy.POWER_OF_TWO, 75)));
    }

    @Test
    void boundedConcurrencyReducesLateLookupsInBurst() {
        double bounded = averageLateShare(ChoicePolicy.EARLIEST_FINISH, 220);
        assertThat(bounded, lessThan(MAXIMUM_LATE_SHARE_RATIO * averageLateShare(ChoicePolicy.LEAST_IN_FLIGHT, 220)));
    }

    @Test
    void boundedConcurrencyReducesLateLookupsUnderOverload() {
        double bounded = averageLateShare(ChoicePolicy.EARLIEST_FINISH, 300);
        assertThat(bounded, lessThan(MAXIMUM_LATE_SHARE_RATIO * averageLateShare(ChoicePolicy.LEAST_IN_FLIGHT, 300)));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void overloadAnswersMoreOrdersThanLookups(long seed) {
        LoadSimulation simulation = simulateBurst(ChoicePolicy.EARLIEST_FINISH, seed, 400);
        assertThat(
                simulation.results("orders").answeredShare(),
                greaterThan(simulation.results("lookups").answeredShare()));
    }

    /** Averages over several seeds under a constant load. */
    private static double averageShare(int gateways, double requestsPerSecond, ToDoubleFunction<LoadSimulation> share) {
        double sum = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            LoadSimulation simulation =
                    new LoadSimulation(ChoicePolicy.EARLIEST_FINISH, LoadProfile.FOUR_SLOTS, gateways, SERVERS, seed);
            simulation.run(requestsPerSecond, 8_000);
            sum += share.applyAsDouble(simulation);
        }
        return sum / SEEDS;
    }

    private static void assertFleetNearlyMatchesOneGateway(
            double requestsPerSecond, ToDoubleFunction<LoadSimulation> share) {
        double alone = averageShare(1, requestsPerSecond, share);
        double fleet = averageShare(13, requestsPerSecond, share);
        assertThat(fleet, greaterThan(MINIMUM_FLEET_SHARE_RATIO * alone));
    }

    @ParameterizedTest
    @ValueSource(doubles = {75, 160, 220, 300})
    void fleetServesLookupsNearlyAsOneGateway(double requestsPerSecond) {
        assertFleetNearlyMatchesOneGateway(
                requestsPerSecond, simulation -> simulation.results("lookups").withinTargetShare());
    }

    @ParameterizedTest
    @ValueSource(doubles = {75, 160, 220, 300})
    void fleetServesOrdersNearlyAsOneGateway(double requestsPerSecond) {
        assertFleetNearlyMatchesOneGateway(
                requestsPerSecond, simulation -> simulation.results("orders").withinTargetShare());
    }

    @Test
    void largeFleetSendsNoMoreProbes() {
        LoadSimulation small = new LoadSimulation(ChoicePolicy.EARLIEST_FINISH, LoadProfile.FOUR_SLOTS, 13, SERVERS, 1);
        LoadSimulation large = new LoadSimulation(ChoicePolicy.EARLIEST_FINISH, LoadProfile.FOUR_SLOTS, 60, SERVERS, 1);
        small.run(0, 4_000);
        large.run(0, 4_000);
        assertThat(large.probeCount, lessThan(small.probeCount));
    }
}
