package org.chivecourse.coordination.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.coordination.choice.ChoicePolicy;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.evacuation.Evacuations;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.state.call.CallTerms;
import org.chivecourse.state.server.RequestLimit;
import org.chivecourse.state.server.ServerState;
import org.junit.jupiter.api.Test;

/** Guards against callers who are sent away for longer than it takes until a place is free, or for ever. */
class RetryAfterDelayTest {

    private static final long NOW = 1_000_000_000_000L;

    private static final int HOSTS = 13;

    private static final CallTerms TERMS = new CallTerms(
            "jobs", Method.GET, "/a", true, 2, false, true, "", 1, NOW, NOW + 1, "route", 1, 300_000_000, false);

    private final RetryAfterDelay delay = new RetryAfterDelay(new SplittableRandom(1));

    private final ServiceState service = new ServiceState(
            Service.named("jobs").backendServer(BackendServer.at("10.0.0.1:80").in("a")),
            Map.of(),
            List.of(),
            new HostSettings("host-1", "a", HOSTS, ChoicePolicy.EARLIEST_FINISH, 100),
            () -> HOSTS,
            new Evacuations(),
            NOW);

    private long milliseconds(double limit, int senders) {
        ServerState server = service.servers().get(0);
        server.allowance().recordStatement(new RequestLimit(limit), NOW, NOW);
        server.allowance().assignSenders(senders);
        return delay.milliseconds(TERMS, Reason.LIMITED, service, HOSTS, NOW);
    }

    @Test
    void namesTimeUntilNextPermitOfSender() {
        assertThat(milliseconds(2, 1), both(greaterThanOrEqualTo(250L)).and(lessThanOrEqualTo(750L)));
    }

    @Test
    void namesTimeUntilEachHostHasHadPlaceOtherwise() {
        assertThat(milliseconds(2, 0), both(greaterThanOrEqualTo(3250L)).and(lessThanOrEqualTo(9750L)));
    }

    @Test
    void namesBoundedTimeForTinyLimit() {
        assertThat(milliseconds(0, 0), both(greaterThanOrEqualTo(15_000L)).and(lessThanOrEqualTo(45_000L)));
    }

    /** Callers that were refused together must not come back together, nor before those that arrived meanwhile. */
    @Test
    void spreadsCallersThatFoundNoRoomAroundTargetLatency() {
        long least = Long.MAX_VALUE;
        long most = 0;
        for (int number = 0; number < 100; number++) {
            long milliseconds = delay.milliseconds(TERMS, Reason.NO_ROOM, service, HOSTS, NOW);
            least = Math.min(least, milliseconds);
            most = Math.max(most, milliseconds);
        }
        assertThat(least, both(greaterThanOrEqualTo(150L)).and(lessThanOrEqualTo(200L)));
        assertThat(most, both(greaterThanOrEqualTo(400L)).and(lessThanOrEqualTo(450L)));
    }
}
