package org.chivecourse.coordination.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.chivecourse.coordination.decision.Decision;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests to backend servers of data centres that the operator has evacuated. */
class EvacuatedDataCentreTest {

    private static final int HOSTS = 13;

    private static final int SERVERS = 14;

    private static final int DATA_CENTRES = 3;

    private static final String DATA_CENTRE = "dc-1";

    /** The time within which no gateway sends anything there any more, as the platform requires. */
    private static final long EVACUATION_MILLISECONDS = 5000;

    /** The time for which the backend servers of a data centre that was taken back count as cold at most. */
    private static final long COLD_MILLISECONDS = 5000;

    private BackendSimulation simulation = simulation(1);

    private static BackendSimulation simulation(long seed) {
        BackendSimulation created = new BackendSimulation(HOSTS, SERVERS, seed);
        created.run(2000, elapsed -> {});
        return created;
    }

    private void evacuate(String dataCentre) {
        simulation.network().publish(TextDecoder.evacuation(dataCentre));
    }

    private void takeBack(String dataCentre) {
        simulation.network().publish(TextDecoder.evacuationEnd(dataCentre));
    }

    private void run(long milliseconds) {
        simulation.run(milliseconds, elapsed -> {});
    }

    /** Returns the number of requests that the backend servers of a data centre got in the last milliseconds. */
    private long received(int dataCentre, long lastMilliseconds) {
        long sum = 0;
        for (int number = dataCentre; number < SERVERS; number += DATA_CENTRES) {
            sum += simulation.statements().countReceived("i" + number, simulation.now() - lastMilliseconds);
        }
        return sum;
    }

    private void assertEvacuated(int dataCentre, long lastMilliseconds) {
        assertThat(received(dataCentre, lastMilliseconds), equalTo(0L));
    }

    private void assertUsed(int dataCentre) {
        run(EVACUATION_MILLISECONDS + COLD_MILLISECONDS + 2000);
        assertThat(received(dataCentre, 2000), greaterThan(10L));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void sendsNothingThereUntilItIsTakenBack(long seed) {
        simulation = simulation(seed);
        evacuate(DATA_CENTRE);
        run(EVACUATION_MILLISECONDS + 4000);
        assertEvacuated(1, 4000);
        takeBack(DATA_CENTRE);
        assertUsed(1);
    }

    /** Repeats and hedges are the attempts that go to another backend server than the first. */
    @Test
    void sendsNoRepeatsThere() {
        simulation.errorShare = 0.3;
        evacuate(DATA_CENTRE);
        run(EVACUATION_MILLISECONDS + 6000);
        assertEvacuated(1, 6000);
    }

    /** Calls of a gateway without links are taken by others. */
    @Test
    void sendsNoForwardedCallsThere() {
        simulation.setLinkLoss(0, LinkLoss.RESET);
        evacuate(DATA_CENTRE);
        run(EVACUATION_MILLISECONDS + 4000);
        assertEvacuated(1, 4000);
        assertThat(simulation.outcomes(number -> number == 0).served, greaterThan(0));
    }

    @Test
    void otherDataCentresServeMeanwhile() {
        evacuate(DATA_CENTRE);
        run(EVACUATION_MILLISECONDS);
        simulation.clearOutcomes();
        run(5000);
        CallerOutcomes outcomes = simulation.outcomes(number -> true);
        assertThat(outcomes.served, greaterThan((int) (0.95 * outcomes.arrived)));
    }

    @Test
    void withdrawsAttemptsThatConnect() {
        long withdrawn = 0;
        for (long seed = 1; seed <= 8; seed++) {
            simulation = simulation(seed);
            simulation.requestsPerSecond = 300;
            run(500);
            evacuate(DATA_CENTRE);
            run(EVACUATION_MILLISECONDS);
            for (int number = 0; number < HOSTS; number++) {
                withdrawn += simulation
                        .network()
                        .core(number)
                        .services()
                        .evacuations()
                        .withdrawnAttempts();
            }
        }
        assertThat(withdrawn, greaterThan(0L));
    }

    @Test
    void followsLastOfQuickSuccession() {
        for (int change = 0; change < 7; change++) {
            if (change % 2 == 0) {
                evacuate(DATA_CENTRE);
            } else {
                takeBack(DATA_CENTRE);
            }
            run(change % 3 == 0 ? 0 : 20);
        }
        run(EVACUATION_MILLISECONDS + 4000);
        assertEvacuated(1, 4000);
        takeBack(DATA_CENTRE);
        evacuate(DATA_CENTRE);
        takeBack(DATA_CENTRE);
        assertUsed(1);
    }

    @Test
    void gatewayThatHearsOnlyOthersFollows() {
        simulation.network().setDisconnectedFromPublisher(4, true);
        evacuate(DATA_CENTRE);
        run(EVACUATION_MILLISECONDS + 3000);
        assertEvacuated(1, 3000);
        takeBack(DATA_CENTRE);
        assertUsed(1);
    }

    @Test
    void gatewayThatWasCutOffCatchesUp() {
        simulation.network().setDisconnectedFromPublisher(4, true);
        simulation.setCutOff(4, true);
        evacuate(DATA_CENTRE);
        run(6000);
        simulation.network().setDisconnectedFromPublisher(4, false);
        simulation.setCutOff(4, false);
        run(EVACUATION_MILLISECONDS + 3000);
        assertEvacuated(1, 3000);
    }

    @Test
    void holdsWhilePublisherIsDownAndForGatewaysThatStartThen() {
        evacuate(DATA_CENTRE);
        run(EVACUATION_MILLISECONDS);
        simulation.network().setPublisherDown(true);
        run(1000);
        simulation.restart(3);
        simulation.restart(7);
        run(6000);
        assertEvacuated(1, 7000);
        simulation.network().setPublisherDown(false);
        takeBack(DATA_CENTRE);
        assertUsed(1);
    }

    /** A gateway knows all items before it serves. */
    @Test
    void gatewaysThatStartSendNothingThere() {
        evacuate(DATA_CENTRE);
        run(EVACUATION_MILLISECONDS);
        simulation.run(9000, elapsed -> {
            if (elapsed % 700 == 300) {
                simulation.restart((int) (elapsed / 700) % HOSTS);
            }
        });
        assertEvacuated(1, 9000);
    }

    @Test
    void copyThatHasEvacuationKeepsIt() {
        evacuate(DATA_CENTRE);
        run(EVACUATION_MILLISECONDS);
        simulation.network().restorePublisher(simulation.network().copyPublisher());
        run(5000);
        assertEvacuated(1, 5000);
        takeBack(DATA_CENTRE);
        assertUsed(1);
    }

    /** What the operator finds published holds on all gateways, those that started since included. */
    @Test
    void copyWithoutEvacuationEndsIt() {
        SimulatedPublisher.Copy copy = simulation.network().copyPublisher();
        evacuate(DATA_CENTRE);
        run(EVACUATION_MILLISECONDS);
        simulation.network().restorePublisher(copy);
        run(1000);
        assertUsed(1);
        evacuate(DATA_CENTRE);
        run(EVACUATION_MILLISECONDS + 4000);
        assertEvacuated(1, 4000);
    }

    @Test
    void copyFromBeforeEndBringsEvacuationBack() {
        evacuate(DATA_CENTRE);
        run(EVACUATION_MILLISECONDS);
        SimulatedPublisher.Copy copy = simulation.network().copyPublisher();
        takeBack(DATA_CENTRE);
        assertUsed(1);
        simulation.network().restorePublisher(copy);
        run(EVACUATION_MILLISECONDS + 5000);
        assertEvacuated(1, 4000);
    }

    @Test
    void evacuatesTwoDataCentres() {
        simulation.requestsPerSecond = 30;
        evacuate(DATA_CENTRE);
        evacuate("dc-2");
        run(EVACUATION_MILLISECONDS + 4000);
        assertEvacuated(1, 4000);
        assertEvacuated(2, 4000);
        takeBack(DATA_CENTRE);
        assertUsed(1);
        assertEvacuated(2, 3000);
    }

    @Test
    void refusesAtOnceWhileAllAreEvacuatedAndServesOnceOneIsBack() {
        evacuate("dc-0");
        evacuate(DATA_CENTRE);
        evacuate("dc-2");
        run(EVACUATION_MILLISECONDS);
        int refusedBefore = simulation.refusedUnsent;
        int lateBefore = simulation.refusedLate;
        run(4000);
        assertThat(simulation.countReceived(4000), equalTo(0L));
        assertThat(simulation.refusedUnsent - refusedBefore, greaterThan(300));
        assertThat(simulation.refusedLate - lateBefore, lessThanOrEqualTo(0));
        takeBack("dc-0");
        assertUsed(0);
        assertEvacuated(1, 3000);
    }

    @Test
    void auditsEachStartAndEndOnEachGatewayOnce() {
        int before = simulation.countChanges(Decision.Subject.DATA_CENTRE_EVACUATED);
        evacuate(DATA_CENTRE);
        run(3000);
        takeBack(DATA_CENTRE);
        run(3000);
        assertThat(simulation.countChanges(Decision.Subject.DATA_CENTRE_EVACUATED) - before, equalTo(2 * HOSTS));
    }

    /** It holds for backend servers that appear later, and is said once on each gateway. */
    @Test
    void evacuationOfUnknownDataCentreIsSaidAndHoldsForLaterServers() {
        evacuate("dc-9");
        run(4000);
        assertThat(simulation.countChanges(Decision.Subject.DATA_CENTRE_EVACUATED), equalTo(2 * HOSTS));
        simulation.startServer("i99", "dc-9");
        run(4000);
        assertThat(simulation.statements().countReceived("i99", 0), equalTo(0L));
        assertThat(received(0, 2000), greaterThan(10L));
    }
}
