package org.chivecourse.coordination.publication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import org.chivecourse.coordination.registry.ServerRegistry;
import org.junit.jupiter.api.Test;

/**
 * Guards against backend servers that are removed because their announcements expired in an outage of the publisher,
 * and against withdrawals that are delayed without one.
 */
class OutageDetectorTest {

    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

    private final OutageDetector detector = new OutageDetector();

    @Test
    void doesNotDelayWithdrawalWithoutOutage() {
        for (long at = 0; at < 5000; at += 500) {
            detector.recordAnswer(at * NANOSECONDS_PER_MILLISECOND);
        }
        assertThat(detector.keepUntil(5000 * NANOSECONDS_PER_MILLISECOND), equalTo(5000 * NANOSECONDS_PER_MILLISECOND));
    }

    @Test
    void delaysWithdrawalShortlyAfterOutage() {
        detector.recordAnswer(0);
        detector.recordAnswer(4500 * NANOSECONDS_PER_MILLISECOND);
        long end = 4500 * NANOSECONDS_PER_MILLISECOND + ServerRegistry.REANNOUNCEMENT_GRACE_NANOSECONDS;
        assertThat(detector.keepUntil(4600 * NANOSECONDS_PER_MILLISECOND), equalTo(end));
        assertThat(detector.keepUntil(end), equalTo(end));
    }

    @Test
    void detectsNoOutageWhileOtherGatewaysAreAnswered() {
        for (long at = 0; at < 9000; at += 3000) {
            detector.recordAnswer(at * NANOSECONDS_PER_MILLISECOND);
        }
        assertThat(detector.keepUntil(9000 * NANOSECONDS_PER_MILLISECOND), equalTo(9000 * NANOSECONDS_PER_MILLISECOND));
    }
}
