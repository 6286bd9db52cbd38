package org.chivecourse.coordination.host;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.event.Event;
import org.junit.jupiter.api.Test;

/** Guards against the end of a configured backend server that is not noticed, on a host that has no fleet. */
class SilentServerTest {

    private static final long FINGERPRINT = 77;

    private static final Service JOBS = Service.named("jobs")
            .backendServer(BackendServer.at("10.0.0.1:80").in("si-a").slots(4));

    private static void failToConnect(CoreHarness harness) {
        harness.arrive(new Arrival(Method.GET, "/jobs/lookups/2", 0, 0, true, "", 5));
        for (Decision.Send send : harness.decisions(Decision.Send.class)) {
            harness.handle(new Event.AttemptUnsent(send.attempt(), "connection timed out"));
        }
    }

    @Test
    void countsServerThatStaysOutOfReachUnderRequest() {
        CoreHarness harness = CoreHarness.withService(JOBS);
        harness.arrive(new Arrival(Method.GET, "/jobs/lookups/1", 0, 0, true, "", FINGERPRINT));
        harness.connect(harness.onlyDecision(Decision.Send.class));
        for (int count = 0; count < 3; count++) {
            harness.advance(200);
            failToConnect(harness);
        }
        harness.advance(5);
        assertThat(harness.core().poisonRequests().failedServerCount(FINGERPRINT), equalTo(1));
    }
}
