package org.chivecourse.coordination.publication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import org.chivecourse.coordination.registry.Registry;
import org.junit.jupiter.api.Test;

class OutageWatchTest {

    private static final long MILLISECOND = 1_000_000L;

    private final OutageWatch watch = new OutageWatch();

    @Test
    void aWithdrawalInCalmTimeTakesEffectAtOnce() {
        for (long at = 0; at < 5000; at += 500) {
            watch.answered(at * MILLISECOND);
        }
        assertThat(watch.keepUntil(5000 * MILLISECOND), equalTo(5000 * MILLISECOND));
    }

    @Test
    void aWithdrawalJustAfterAnOutageIsHeldForTheTimeOfReturn() {
        watch.answered(0);
        watch.answered(4500 * MILLISECOND);
        long end = 4500 * MILLISECOND + Registry.RETURN_NANOSECONDS;
        assertThat(watch.keepUntil(4600 * MILLISECOND), equalTo(end));
        assertThat(watch.keepUntil(end), equalTo(end));
    }

    @Test
    void aGatewayThatAloneWasCutOffSeesNoOutageWhileOthersAreAnswered() {
        for (long at = 0; at < 9000; at += 3000) {
            watch.answered(at * MILLISECOND);
        }
        assertThat(watch.keepUntil(9000 * MILLISECOND), equalTo(9000 * MILLISECOND));
    }
}
