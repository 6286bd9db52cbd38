package org.chivecourse.coordination.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import org.chivecourse.state.fleet.Observation;
import org.chivecourse.state.fleet.ObservationKind;
import org.chivecourse.state.server.LoadReport;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are counted twice or not at all because a load report and the dispatches before or after
 * it are merged or sent in the wrong order.
 */
class ObservationOutboxTest {

    private final ObservationOutbox outbox = new ObservationOutbox();

    private static Observation load(int inFlight, long observedAt) {
        return new Observation("i-1", ObservationKind.LOAD, new LoadReport(inFlight, 4), observedAt);
    }

    @Test
    void keepsOnlyNewestLoad() {
        outbox.add(load(1, 20));
        outbox.add(load(2, 10));
        assertThat(outbox.pollLocal(0), contains(load(1, 20)));
    }

    @Test
    void addsUpDispatchedRequests() {
        outbox.add(Observation.ofDispatched("i-1", 1, 10));
        outbox.add(Observation.ofDispatched("i-1", 1, 12));
        assertThat(outbox.pollLocal(0), contains(Observation.ofDispatched("i-1", 2, 12)));
    }

    @Test
    void newerLoadReplacesEarlierDispatches() {
        outbox.add(Observation.ofDispatched("i-1", 1, 10));
        outbox.add(load(2, 20));
        assertThat(outbox.pollLocal(0), contains(load(2, 20)));
    }

    @Test
    void reportsDispatchesAfterSimultaneousLoad() {
        outbox.add(load(2, 20));
        outbox.add(Observation.ofDispatched("i-1", 1, 20));
        assertThat(outbox.pollLocal(0), contains(load(2, 20), Observation.ofDispatched("i-1", 1, 20)));
    }

    @Test
    void reportsEarlierLoadBeforeLaterDispatches() {
        outbox.add(Observation.ofDispatched("i-1", 1, 30));
        outbox.add(load(2, 20));
        assertThat(outbox.pollLocal(0), contains(load(2, 20), Observation.ofDispatched("i-1", 1, 30)));
    }

    @Test
    void loadAndDispatchesAreUrgentUntilTheyAreSent() {
        outbox.add(load(1, 10));
        outbox.add(Observation.ofDispatched("i-1", 1, 20));
        assertThat(outbox.hasUrgentLocal(), is(true));
        assertThat(outbox.hasUrgentRemote(), is(true));
        outbox.pollLocal(0);
        outbox.discardRemote();
        assertThat(outbox.hasUrgentLocal(), is(false));
        assertThat(outbox.hasUrgentRemote(), is(false));
    }

    @Test
    void failureCanWait() {
        outbox.add(new Observation("i-1", ObservationKind.FAILURE, null, 10));
        assertThat(outbox.hasUrgentLocal(), is(false));
    }

    @Test
    void observationOfOtherDataCentreIsUrgentOnlyForThisOne() {
        outbox.addForLocal(load(1, 10));
        assertThat(outbox.hasUrgentLocal(), is(true));
        assertThat(outbox.hasUrgentRemote(), is(false));
    }
}
