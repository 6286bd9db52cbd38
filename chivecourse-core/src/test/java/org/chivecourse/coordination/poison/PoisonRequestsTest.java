package org.chivecourse.coordination.poison;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import org.chivecourse.state.fleet.Crash;
import org.junit.jupiter.api.Test;

/** Guards against ends of backend servers that are counted although an answer cleared them, and against lost ones. */
class PoisonRequestsTest {

    private static final long FINGERPRINT = 99;

    private final PoisonRequests poisonRequests = new PoisonRequests();

    /** A report makes an end younger by the time that it travelled. */
    @Test
    void endThatAnswerClearedStaysCleared() {
        poisonRequests.recordCrash(new Crash(FINGERPRINT, "i1", 100), 100);
        poisonRequests.recordAnswer(FINGERPRINT, 110, 110);
        assertThat(
                poisonRequests.recordCrash(new Crash(FINGERPRINT, "i1", 120), 130),
                equalTo(CrashFinding.ANSWERED_SINCE));
        assertThat(poisonRequests.failedServerCount(FINGERPRINT), equalTo(0));
    }

    @Test
    void countsEndOfServerWhoseEarlierBreakAnswerCleared() {
        poisonRequests.suspect(FINGERPRINT, "i1", 100);
        poisonRequests.recordAnswer(FINGERPRINT, 110, 110);
        poisonRequests.suspect(FINGERPRINT, "i1", 120);
        assertThat(poisonRequests.recordCrash(new Crash(FINGERPRINT, "i1", 120), 130), equalTo(CrashFinding.COUNTED));
    }
}
