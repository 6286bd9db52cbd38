package org.chivecourse.coordination.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.function.ToDoubleFunction;
import org.chivecourse.coordination.choice.ChoicePolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Replays loads at which the choice of a backend server and the order of waiting decide what callers get. */
class LoadSimulationTest {

    private static final int SERVERS = 14;

    private static final int SEEDS = 5;

    private static LoadSimulation simulateBurst(ChoicePolicy policy, long seed, double perSecond) {
        LoadSimulation model = new LoadSimulation(policy, SERVERS, seed);
        model.run(75, 3_000);
        model.run(perSecond, 5_000);
        model.run(75, 3_000);
        return model;
    }

    /** The share of late lookups that is left, against the choice by the number of own requests in flight. */
    private static final double MAXIMUM_LATE_SHARE_RATIO = 0.6;

    /** The least share of what one gateway that sees all serves in time that a fleet serves under the same load. */
    private static final double MINIMUM_FLEET_SHARE_RATIO = 0.7;

    private static double lateShare(LoadSimulation model) {
        return 1 - model.lookupResults.withinTargetShare();
    }

    /** Plays several seeds, since one run holds only some hundred lookups. */
    private static double averageLateShare(ChoicePolicy policy, double perSecond) {
        double sum = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            sum += lateShare(simulateBurst(policy, seed, perSecond));
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
        LoadSimulation model = simulateBurst(ChoicePolicy.EARLIEST_FINISH, seed, 400);
        assertThat(model.orderResults.answeredShare(), greaterThan(model.lookupResults.answeredShare()));
    }

    /** Plays several seeds with a load that lasts. */
    private static double averageShare(int gateways, double perSecond, ToDoubleFunction<LoadSimulation> share) {
        double sum = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            LoadSimulation model = new LoadSimulation(ChoicePolicy.EARLIEST_FINISH, gateways, SERVERS, seed);
            model.run(perSecond, 8_000);
            sum += share.applyAsDouble(model);
        }
        return sum / SEEDS;
    }

    private static void assertFleetNearlyMatchesOneGateway(double perSecond, ToDoubleFunction<LoadSimulation> share) {
        double alone = averageShare(1, perSecond, share);
        double fleet = averageShare(13, perSecond, share);
        assertThat(fleet, greaterThan(MINIMUM_FLEET_SHARE_RATIO * alone));
    }

    @ParameterizedTest
    @ValueSource(doubles = {75, 160, 220, 300})
    void fleetServesLookupsNearlyAsOneGateway(double perSecond) {
        assertFleetNearlyMatchesOneGateway(perSecond, model -> model.lookupResults.withinTargetShare());
    }

    @ParameterizedTest
    @ValueSource(doubles = {75, 160, 220, 300})
    void fleetServesOrdersNearlyAsOneGateway(double perSecond) {
        assertFleetNearlyMatchesOneGateway(perSecond, model -> model.orderResults.withinTargetShare());
    }

    @Test
    void largeFleetSendsNoMoreProbes() {
        LoadSimulation small = new LoadSimulation(ChoicePolicy.EARLIEST_FINISH, 13, SERVERS, 1);
        LoadSimulation large = new LoadSimulation(ChoicePolicy.EARLIEST_FINISH, 60, SERVERS, 1);
        small.run(0, 4_000);
        large.run(0, 4_000);
        assertThat(large.probeCount, lessThan(small.probeCount));
    }
}
