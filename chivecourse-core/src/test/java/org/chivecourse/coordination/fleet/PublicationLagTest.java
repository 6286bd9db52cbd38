package org.chivecourse.coordination.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import java.util.ArrayList;
import java.util.List;
import org.chivecourse.coordination.decision.Decision;
import org.junit.jupiter.api.Test;

class PublicationLagTest {

    private static final long MILLISECOND = 1_000_000L;

    private final List<String> records = new ArrayList<>();

    private final PublicationLag lag = new PublicationLag("host-1");

    private void record(Decision decision) {
        Decision.Change change = ((Decision.Audit) decision).change();
        records.add(change.from() + " " + change.to() + ", " + change.cause());
    }

    @Test
    void tellsFromWhomItLearntAndHowItCaughtUp() {
        lag.recordPeer("host-2", 7, 5, 0, this::record);
        lag.recordPeer("host-3", 8, 5, 10 * MILLISECOND, this::record);
        lag.recordPull();
        lag.recordOwn(7, "pulled from host-2", 20 * MILLISECOND, this::record);
        lag.recordOwn(8, "carried by host-3", 35 * MILLISECOND, this::record);
        assertThat(
                records,
                contains("5 behind 7, digest of host-2", "5 caught up 8, carried by host-3, after 35 ms, pulls: 1"));
    }

    @Test
    void saysNothingWhileNobodyIsAhead() {
        lag.recordPeer("host-2", 5, 5, 0, this::record);
        lag.recordOwn(6, "read from the publisher", MILLISECOND, this::record);
        assertThat(records, empty());
    }

    /** Under constant changes a gateway may never reach the highest revision that it has heard of. */
    @Test
    void countsAsBehindSinceItsLastProgress() {
        lag.recordPeer("host-2", 9, 5, 0, this::record);
        lag.recordOwn(7, "pulled from host-2", 4000 * MILLISECOND, this::record);
        assertThat(lag.progressAt(), equalTo(4000 * MILLISECOND));
        assertThat(lag.behind(), equalTo(true));
    }
}
