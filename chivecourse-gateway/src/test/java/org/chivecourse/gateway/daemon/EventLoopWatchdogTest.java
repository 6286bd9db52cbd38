package org.chivecourse.gateway.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class EventLoopWatchdogTest {

    private static final int CHECKS = 10;

    private final AtomicLong ticks = new AtomicLong();

    private final EventLoopWatchdog watchdog = new EventLoopWatchdog(ticks::get);

    @Test
    void noticesEventLoopWithoutProgress() {
        assertThat(watchdog.standsStill(), equalTo(false));
        for (int check = 1; check < CHECKS; check++) {
            assertThat(watchdog.standsStill(), equalTo(false));
        }
        assertThat(watchdog.standsStill(), equalTo(true));
    }

    /** A loaded machine runs the loop late, but it runs. */
    @Test
    void sparesSlowEventLoop() {
        for (int check = 0; check < CHECKS * CHECKS; check++) {
            if (check % (CHECKS - 1) == 0) {
                ticks.incrementAndGet();
            }
            assertThat(watchdog.standsStill(), equalTo(false));
        }
    }
}
