package org.chivecourse.state.server;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.chivecourse.configuration.model.WarmUp;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against backend servers that count as warm though their newest word, or their silence, says otherwise. */
class ServerWarmUpTest {

    private static final long SECOND = 1_000_000_000L;

    private static final long START = 100 * SECOND;

    private static final WarmUp CONFIGURED = new WarmUp(Duration.ofSeconds(3), 2);

    private final ServerWarmUp warmUp = new ServerWarmUp(START);

    @BeforeEach
    void configure() {
        warmUp.configure(CONFIGURED);
        warmUp.recordContact(START);
    }

    @Test
    void newestStatementHoldsInAnyOrderOfArrival() {
        warmUp.recordStatement(3 * SECOND, START + SECOND, "probe");
        assertThat(warmUp.cold(START + SECOND), is(true));
        assertThat(warmUp.recordReport(0, START, "other"), is(false));
        assertThat(warmUp.cold(START + SECOND), is(true));
        assertThat(warmUp.recordReport(0, START + 2 * SECOND, "other"), is(true));
        assertThat(warmUp.cold(START + 2 * SECOND), is(false));
        warmUp.recordStatement(3 * SECOND, START + SECOND, "probe");
        assertThat(warmUp.cold(START + 2 * SECOND), is(false));
    }

    @Test
    void lateAnnouncementEndsNothing() {
        warmUp.recordStatement(3 * SECOND, START, "probe");
        warmUp.recordAnnouncement(7, 0, START + SECOND);
        assertThat(warmUp.cold(START + SECOND), is(true));
    }

    @Test
    void announcementIsAppliedOnce() {
        warmUp.recordAnnouncement(7, 2 * SECOND, START);
        warmUp.recordAnnouncement(7, 2 * SECOND, START + 4 * SECOND);
        assertThat(warmUp.cold(START + 4 * SECOND), is(false));
        warmUp.recordAnnouncement(8, 2 * SECOND, START + 4 * SECOND);
        assertThat(warmUp.cold(START + 4 * SECOND), is(true));
    }

    @Test
    void reportsThatGoAroundDoNotProlongWhatWasStated() {
        warmUp.recordStatement(3 * SECOND, START, "probe");
        for (int echo = 1; echo <= 100; echo++) {
            warmUp.recordReport(3 * SECOND, START + echo * SECOND / 500, "other");
        }
        assertThat(warmUp.cold(START + 3 * SECOND + SECOND / 10), is(false));
    }

    @Test
    void silentServerIsColdUntilItsWarmUpAfterItIsHeard() {
        assertThat(warmUp.cold(START + 6 * SECOND), is(true));
        assertThat(warmUp.remainingNanoseconds(START + 6 * SECOND), equalTo(ServerWarmUp.NEVER));
        warmUp.recordContact(START + 7 * SECOND);
        assertThat(warmUp.cold(START + 10 * SECOND - 1), is(true));
        assertThat(warmUp.cold(START + 10 * SECOND), is(false));
    }

    @Test
    void unreachableServerThatIsBackIsColdUnlessItStatesOtherwise() {
        warmUp.recordFailure(START + SECOND);
        assertThat(warmUp.cold(START + 2 * SECOND), is(true));
        warmUp.recordContact(START + 2 * SECOND);
        assertThat(warmUp.cold(START + 2 * SECOND), is(true));
        assertThat(warmUp.recordStatement(0, START + 2 * SECOND, "probe"), is(true));
        assertThat(warmUp.cold(START + 2 * SECOND), is(false));
    }

    @Test
    void shortFailureDoesNotTurnServerCold() {
        warmUp.recordFailure(START + SECOND / 2);
        warmUp.recordContact(START + SECOND * 9 / 10);
        assertThat(warmUp.cold(START + SECOND), is(false));
    }

    @Test
    void serverOfEvacuatedDataCentreIsColdUntilItStatesOtherwise() {
        warmUp.assumeCold(START, "taken back");
        assertThat(warmUp.cold(START + SECOND), is(true));
        assertThat(warmUp.recordStatement(0, START - SECOND, "probe"), is(false));
        warmUp.recordContact(START + SECOND);
        assertThat(warmUp.cold(START + 2 * SECOND), is(true));
        warmUp.recordStatement(0, START + 2 * SECOND, "probe");
        assertThat(warmUp.cold(START + 2 * SECOND), is(false));
    }

    @Test
    void serverThatNobodyHeardIsCold() {
        ServerWarmUp unknown = new ServerWarmUp(START);
        unknown.configure(CONFIGURED);
        assertThat(unknown.cold(START), is(true));
        unknown.recordContact(START + 9 * SECOND);
        assertThat(unknown.cold(START + 9 * SECOND), is(false));
    }

    @Test
    void nothingChangesWithoutConfiguredWarmUp() {
        warmUp.configure(WarmUp.NONE);
        assertThat(warmUp.cold(START + 60 * SECOND), is(false));
        warmUp.recordStatement(3 * SECOND, START, "probe");
        assertThat(warmUp.permits(START), is(true));
    }

    @Test
    void permitIsNeitherTakenTwiceNorLost() {
        warmUp.recordStatement(3 * SECOND, START, "probe");
        assertThat("not a sender", warmUp.permits(START), is(false));
        warmUp.assignSenders(2);
        assertThat(warmUp.permits(START), is(true));
        warmUp.take(START);
        assertThat(warmUp.permits(START + SECOND / 2), is(false));
        warmUp.giveBack();
        assertThat(warmUp.permits(START + SECOND / 2), is(true));
        warmUp.recordSent(START + SECOND / 2);
        assertThat(warmUp.maySend(START + SECOND), is(false));
        assertThat(warmUp.maySend(START + SECOND * 3 / 2), is(true));
    }
}
