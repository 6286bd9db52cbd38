package org.chivecourse.coordination.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.evacuation.Evacuation;
import org.chivecourse.coordination.publication.Publication;
import org.chivecourse.coordination.publication.PublishedState;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.publication.PublicationRevision;
import org.chivecourse.state.publication.PublishedItem;
import org.junit.jupiter.api.Test;

/** Guards against evacuations that are missed, kept or brought back by the order in which items arrive. */
class PublishedEvacuationTest {

    private static final byte[] NO_VALUE = {};

    private final List<String> causes = new ArrayList<>();

    private final DecisionSink sink =
            decision -> causes.add(((Decision.Audit) decision).change().cause());

    private final List<List<String>> evacuatedAtChanges = new ArrayList<>();

    private final PublishedState state = new PublishedState(new TextDecoder(), new RecordingListener());

    private static PublishedItem start(long revision, byte[] value) {
        return new PublishedItem(TextDecoder.evacuation("a").key(), revision, value);
    }

    private static PublishedItem end(long revision) {
        return PublishedItem.removal(TextDecoder.evacuation("a").key(), revision);
    }

    private List<String> evacuated() {
        return state.evacuations().all().stream().map(Evacuation::dataCentre).toList();
    }

    private void change(long after, long upTo, PublishedItem... items) {
        state.applyChanges(new FleetDigest.Changes(after, upTo, List.of(items)), "test", 0, sink);
    }

    @Test
    void startAndEndInOneChangeEvacuateNothingAndTellOfEnd() {
        change(0, 4);
        change(4, 6, start(5, NO_VALUE), end(6));
        assertThat(evacuated(), empty());
        assertThat(state.evacuations().takeEnded(), contains("a"));
    }

    @Test
    void lastOfOneChangeHolds() {
        change(0, 4);
        change(4, 7, start(5, NO_VALUE), end(6), start(7, NO_VALUE));
        assertThat(evacuated(), contains("a"));
        change(7, 9, end(8), start(9, NO_VALUE));
        assertThat(evacuated(), contains("a"));
    }

    @Test
    void lateNewsOfEarlierRevisionChangeNothing() {
        change(0, 4);
        change(4, 6, start(5, NO_VALUE), end(6));
        change(4, 5, start(5, NO_VALUE));
        state.replace(List.of(start(5, NO_VALUE)), 5, "late listing", 0, sink);
        assertThat(evacuated(), empty());
        change(6, 7, start(7, NO_VALUE));
        change(4, 6, start(5, NO_VALUE), end(6));
        state.replace(List.of(), 6, "late listing", 0, sink);
        assertThat(evacuated(), contains("a"));
    }

    /** Neither a configuration nor a backend server of the same change lets a call go there. */
    @Test
    void evacuationGoesAheadOfAllElseOfItsChange() {
        PublishedItem server = TextDecoder.server("i1", 2, "ready");
        state.replace(List.of(FleetNetwork.configuration(1, 1), server, start(3, NO_VALUE)), 3, "publisher", 0, sink);
        assertThat(evacuatedAtChanges, not(empty()));
        assertThat(evacuatedAtChanges, not(hasItem(List.of())));
    }

    /** A large value that is written again is sent as its difference. */
    @Test
    void differencesOfValuesAreRelayed() {
        byte[] value = new byte[2000];
        new Random(1).nextBytes(value);
        byte[] changed = value.clone();
        changed[7]++;
        change(0, 5, start(5, value));
        PublishedState other = new PublishedState(new TextDecoder(), new RecordingListener());
        other.applyChanges(state.compactChangesAfter(0), "host", 0, sink);
        change(5, 6, start(6, changed));
        FleetDigest.Changes compact = state.compactChangesAfter(5);
        assertThat(compact.differences(), hasSize(1));
        assertThat(other.applyChanges(compact, "host", 0, sink), equalTo(true));
        assertThat(other.evacuations().all(), hasSize(1));
        change(6, 7, end(7));
        other.applyChanges(state.compactChangesAfter(6), "host", 0, sink);
        assertThat(other.evacuations().all(), empty());
    }

    @Test
    void copyWithoutItemEndsEvacuationAndSaysSo() {
        change(0, 5, start(5, NO_VALUE));
        state.replace(List.of(), PublicationRevision.of(1, 3), "publisher", 0, sink);
        assertThat(evacuated(), empty());
        assertThat(causes, hasItem(containsString("lost by the publisher")));
    }

    /** Records which data centres are evacuated when something else changes. */
    private final class RecordingListener implements PublishedState.Listener {

        @Override
        public void onConfigurationPublished(
                Publication.PublishedConfiguration configuration, String source, long now, DecisionSink sink) {
            evacuatedAtChanges.add(evacuated());
        }

        @Override
        public void onServersChanged(long now, DecisionSink sink) {
            evacuatedAtChanges.add(evacuated());
        }
    }
}
