package org.chivecourse.coordination.host;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.chivecourse.configuration.model.Method;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.retry.RetryRule;
import org.junit.jupiter.api.Test;

/** Guards against calls that are connected again and again until their deadline. */
class UnsentAttemptsTest {

    /** Refuses the first attempt of a call, fails all later ones to connect, and returns the number of attempts. */
    private static int attemptsAfterRefusal(CoreHarness harness) {
        harness.arrive(Method.GET, "/jobs/lookups/1");
        Decision.Send send = harness.onlyDecision(Decision.Send.class);
        harness.connect(send);
        harness.refuse(send);
        int attempts = 1;
        while (!harness.decisions(Decision.Send.class).isEmpty() && attempts < 100) {
            attempts++;
            Decision.Send next = harness.onlyDecision(Decision.Send.class);
            harness.handle(new Event.AttemptUnsent(next.attempt(), "connection refused"));
        }
        return attempts;
    }

    @Test
    void givesUpAfterFewUnsentAttemptsThatFollowRefusal() {
        CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(3));
        assertThat(attemptsAfterRefusal(harness), lessThanOrEqualTo(1 + RetryRule.MAXIMUM_UNSENT_ATTEMPTS));
        assertThat(harness.core().openCalls(), equalTo(0));
    }
}
