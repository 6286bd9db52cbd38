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
class WorstLoadTest {

    private static final int SERVERS = 14;

    private static final int SEEDS = 5;

    private static LoadModel played(ChoicePolicy policy, long seed, double perSecond) {
        LoadModel model = new LoadModel(policy, SERVERS, seed);
        model.play(75, 3_000);
        model.play(perSecond, 5_000);
        model.play(75, 3_000);
        return model;
    }

    /** The share of late lookups that is left, against the choice by the number of own requests in flight. */
    private static final double LARGEST_REST = 0.6;

    /** The least share of what one gateway that sees all serves in time that a fleet serves under the same load. */
    private static final double LEAST_OF_FLEET = 0.7;

    private static double late(LoadModel model) {
        return 1 - model.lookups.inTargetShare();
    }

    /** Plays several seeds, since one run holds only some hundred lookups. */
    private static double late(ChoicePolicy policy, double perSecond) {
        double sum = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            sum += late(played(policy, seed, perSecond));
        }
        return sum / SEEDS;
    }

    @Test
    void whereMachinesTurnSlowTheStatedSlownessKeepsLookupsInTime() {
        double informed = late(ChoicePolicy.EARLIEST_FINISH, 75);
        assertThat(informed, lessThan(LARGEST_REST * late(ChoicePolicy.POWER_OF_TWO, 75)));
    }

    @Test
    void aBurstIsServedBelowThePointAtWhichServersSlowDown() {
        double bounded = late(ChoicePolicy.EARLIEST_FINISH, 220);
        assertThat(bounded, lessThan(LARGEST_REST * late(ChoicePolicy.LEAST_IN_FLIGHT, 220)));
    }

    @Test
    void overloadLeavesMoreLookupsInTimeThanTheChoiceByOwnRequests() {
        double bounded = late(ChoicePolicy.EARLIEST_FINISH, 300);
        assertThat(bounded, lessThan(LARGEST_REST * late(ChoicePolicy.LEAST_IN_FLIGHT, 300)));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void underOverloadTheMoreUrgentKindIsServedNoLessThanTheOther(long seed) {
        LoadModel model = played(ChoicePolicy.EARLIEST_FINISH, seed, 400);
        assertThat(model.bookings.servedShare(), greaterThan(model.lookups.servedShare()));
    }

    /** Plays several seeds with a load that lasts. */
    private static double inTarget(int gateways, double perSecond, ToDoubleFunction<LoadModel> share) {
        double sum = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            LoadModel model = new LoadModel(ChoicePolicy.EARLIEST_FINISH, gateways, SERVERS, seed);
            model.play(perSecond, 8_000);
            sum += share.applyAsDouble(model);
        }
        return sum / SEEDS;
    }

    private static void assertNearlyAsOneGateway(double perSecond, ToDoubleFunction<LoadModel> share) {
        double alone = inTarget(1, perSecond, share);
        double fleet = inTarget(13, perSecond, share);
        assertThat(fleet, greaterThan(LEAST_OF_FLEET * alone));
    }

    @ParameterizedTest
    @ValueSource(doubles = {75, 160, 220, 300})
    void aFleetThatSharesItsBackendServersServesLookupsInTimeNearlyAsOneGatewayDoes(double perSecond) {
        assertNearlyAsOneGateway(perSecond, model -> model.lookups.inTargetShare());
    }

    @ParameterizedTest
    @ValueSource(doubles = {75, 160, 220, 300})
    void aFleetThatSharesItsBackendServersServesBookingsInTimeNearlyAsOneGatewayDoes(double perSecond) {
        assertNearlyAsOneGateway(perSecond, model -> model.bookings.inTargetShare());
    }

    @Test
    void theProbesOfALargeFleetDoNotGrowWithItsGateways() {
        LoadModel small = new LoadModel(ChoicePolicy.EARLIEST_FINISH, 13, SERVERS, 1);
        LoadModel large = new LoadModel(ChoicePolicy.EARLIEST_FINISH, 60, SERVERS, 1);
        small.play(0, 4_000);
        large.play(0, 4_000);
        assertThat(large.probes, lessThan(small.probes));
    }
}
