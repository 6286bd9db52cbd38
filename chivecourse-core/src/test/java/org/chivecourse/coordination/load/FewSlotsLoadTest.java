package org.chivecourse.coordination.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.chivecourse.coordination.choice.ChoicePolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays load near and beyond the capacity of backend servers that have two slots and do not answer a request that
 * they cannot queue. Guards against slots that stay unused, gateways that all send to the same backend server, and
 * requests that wait in vain.
 */
class FewSlotsLoadTest {

    private static final int GATEWAYS = 15;

    private static final int SERVERS = 24;

    private static final int SEEDS = 3;

    /** The load of a busy day, in requests per second. */
    private static final double HIGH_LOAD = 200;

    /** A load that is higher than the capacity, in requests per second. */
    private static final double OVERLOAD = 250;

    /** The worth that the users ask for on busy days, and what they take off it for machines and traffic. */
    private static final double MINIMUM_WORTH_SHARE = 0.42 + 0.2;

    /** The minimum worth of a fleet's answers, relative to a single gateway that receives the whole load. */
    private static final double MINIMUM_FLEET_SHARE_RATIO = 0.8;

    /** The same while the load is higher than the capacity. */
    private static final double MINIMUM_OVERLOADED_FLEET_SHARE_RATIO = 0.7;

    /** The maximum share of requests that may be sent to a backend server that is full and does not answer. */
    private static final double MAXIMUM_UNANSWERED_SHARE = 0.005;

    private static List<LoadSimulation> simulate(int gateways, double requestsPerSecond) {
        List<LoadSimulation> simulations = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            LoadSimulation simulation = new LoadSimulation(
                    ChoicePolicy.EARLIEST_FINISH, LoadProfile.TWO_SLOTS_SILENT_WHEN_FULL, gateways, SERVERS, seed);
            simulation.run(requestsPerSecond, 8_000);
            simulation.run(0, 1_000);
            simulations.add(simulation);
        }
        return simulations;
    }

    private static double average(List<LoadSimulation> simulations, ToDoubleFunction<LoadSimulation> value) {
        return simulations.stream().mapToDouble(value).average().orElseThrow();
    }

    private static double worthShare(int gateways, double requestsPerSecond) {
        return average(simulate(gateways, requestsPerSecond), LoadSimulation::worthShare);
    }

    @Test
    void usesBothSlotsUnderHighLoad() {
        assertThat(worthShare(GATEWAYS, HIGH_LOAD), greaterThan(MINIMUM_WORTH_SHARE));
    }

    @ParameterizedTest
    @ValueSource(doubles = {137, 165, HIGH_LOAD})
    void fleetServesNearlyAsOneGateway(double requestsPerSecond) {
        double alone = worthShare(1, requestsPerSecond);
        assertThat(worthShare(GATEWAYS, requestsPerSecond), greaterThan(MINIMUM_FLEET_SHARE_RATIO * alone));
    }

    @Test
    void overloadedFleetServesNearlyAsOneGateway() {
        double alone = worthShare(1, OVERLOAD);
        assertThat(worthShare(GATEWAYS, OVERLOAD), greaterThan(MINIMUM_OVERLOADED_FLEET_SHARE_RATIO * alone));
    }

    @Test
    void sendsHardlyAnythingToFullServers() {
        List<LoadSimulation> simulations = simulate(GATEWAYS, HIGH_LOAD);
        assertThat(
                average(simulations, simulation -> (double) simulation.unanswered / simulation.requested()),
                lessThan(MAXIMUM_UNANSWERED_SHARE));
    }

    /** A request is refused no later than when it can no longer be answered within its target latency. */
    @Test
    void refusesAsSoonAsTheTargetCannotBeMet() {
        List<LoadSimulation> simulations = simulate(GATEWAYS, OVERLOAD);
        for (LoadProfile.Kind kind : LoadProfile.TWO_SLOTS_SILENT_WHEN_FULL.kinds()) {
            assertThat(
                    average(
                            simulations,
                            simulation -> simulation.results(kind.name()).meanHeldMilliseconds()),
                    lessThan(kind.targetMilliseconds() - kind.workMilliseconds()));
        }
    }
}
