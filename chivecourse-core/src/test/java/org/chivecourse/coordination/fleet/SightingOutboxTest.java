package org.chivecourse.coordination.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

import org.chivecourse.state.fleet.Observation;
import org.chivecourse.state.fleet.ObservationKind;
import org.chivecourse.state.server.LoadReport;
import org.junit.jupiter.api.Test;

/** What a gateway tells others of what it saw. */
class SightingOutboxTest {

    private final SightingOutbox outbox = new SightingOutbox();

    private static Observation load(int inFlight, long at) {
        return new Observation("i-1", ObservationKind.LOAD, new LoadReport(inFlight, 4), at);
    }

    @Test
    void onlyTheNewestLoadIsTold() {
        outbox.add(load(1, 20));
        outbox.add(load(2, 10));
        assertThat(outbox.pollNear(), contains(load(1, 20)));
    }

    @Test
    void requestsThatWereHandedOverAddUp() {
        outbox.add(Observation.ofDispatched("i-1", 1, 10));
        outbox.add(Observation.ofDispatched("i-1", 1, 12));
        assertThat(outbox.pollNear(), contains(Observation.ofDispatched("i-1", 2, 12)));
    }

    @Test
    void aLoadTakesThePlaceOfWhatWasHandedOverBefore() {
        outbox.add(Observation.ofDispatched("i-1", 1, 10));
        outbox.add(load(2, 20));
        assertThat(outbox.pollNear(), contains(load(2, 20)));
    }

    @Test
    void whatIsHandedOverAfterALoadIsToldAfterIt() {
        outbox.add(load(2, 20));
        outbox.add(Observation.ofDispatched("i-1", 1, 20));
        assertThat(outbox.pollNear(), contains(load(2, 20), Observation.ofDispatched("i-1", 1, 20)));
    }

    @Test
    void aLoadOfAnEarlierTimeIsToldBeforeWhatWasHandedOverAfterIt() {
        outbox.add(Observation.ofDispatched("i-1", 1, 30));
        outbox.add(load(2, 20));
        assertThat(outbox.pollNear(), contains(load(2, 20), Observation.ofDispatched("i-1", 1, 30)));
    }
}
