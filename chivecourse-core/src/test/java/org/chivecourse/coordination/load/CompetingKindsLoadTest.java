package org.chivecourse.coordination.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import org.chivecourse.coordination.choice.ChoicePolicy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays load near and beyond the capacity of backend servers that frequent readings and urgent commands share, over
 * gateways that each see a few requests. Guards against commands that are answered in time less often than readings.
 */
class CompetingKindsLoadTest {

    private static final int GATEWAYS = 15;

    private static final int SERVERS = 20;

    private static final int SEEDS = 3;

    private static List<LoadSimulation> simulate(double requestsPerSecond) {
        List<LoadSimulation> simulations = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            LoadSimulation simulation =
                    new LoadSimulation(ChoicePolicy.EARLIEST_FINISH, LoadProfile.STATIONS, GATEWAYS, SERVERS, seed);
            simulation.run(requestsPerSecond, 10_000);
            simulation.run(0, 4_000);
            simulations.add(simulation);
        }
        return simulations;
    }

    private static double withinTargetShare(List<LoadSimulation> simulations, String kind) {
        return simulations.stream()
                .mapToDouble(simulation -> simulation.results(kind).withinTargetShare())
                .average()
                .orElseThrow();
    }

    @ParameterizedTest
    @ValueSource(doubles = {138, 176})
    void commandsAreAnsweredInTimeAtLeastAsOftenAsReadings(double requestsPerSecond) {
        List<LoadSimulation> simulations = simulate(requestsPerSecond);
        assertThat(
                withinTargetShare(simulations, "commands"),
                greaterThanOrEqualTo(withinTargetShare(simulations, "readings")));
    }
}
