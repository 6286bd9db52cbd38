package org.chivecourse.coordination.poison;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.ArrayList;
import java.util.List;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.configuration.model.ServerMode;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.call.CallTerms;
import org.chivecourse.state.server.ServerState;
import org.junit.jupiter.api.Test;

/** Guards against suspected requests that run again at a backend server that has ended or that cannot be reached. */
class QuarantineTest {

    private static final long FINGERPRINT = 99;

    private final PoisonRequests poisonRequests = new PoisonRequests();

    private final List<ServerState> servers = new ArrayList<>();

    private final Quarantine quarantine = new Quarantine();

    /** Creates a quarantine with a suspected call and backend servers whose identity differs from their address. */
    QuarantineTest() {
        for (int number = 1; number <= 3; number++) {
            BackendServer server =
                    new BackendServer("10.0.0." + number + ":80", "a", 4, 100, ServerMode.ACTIVE, "i" + number);
            servers.add(new ServerState(server, 7, true, 0, true));
        }
        quarantine.offer(new CallState(
                1,
                new CallTerms(
                        "jobs",
                        Method.GET,
                        "/lookups/1",
                        true,
                        2,
                        false,
                        true,
                        "",
                        FINGERPRINT,
                        0,
                        1000,
                        "",
                        0,
                        1000,
                        false)));
    }

    @Test
    void prefersServerThatHasNotFailedWithTheRequest() {
        poisonRequests.suspect(FINGERPRINT, servers.get(0).processName(), 0);
        poisonRequests.suspect(FINGERPRINT, servers.get(1).processName(), 0);
        quarantine.pollReady(servers, poisonRequests, 0);
        assertThat(quarantine.reserved(), equalTo(servers.get(2)));
    }

    @Test
    void reservesNoUnreachableServer() {
        servers.get(0).condition().markUnreachable(0);
        quarantine.pollReady(servers, poisonRequests, 0);
        assertThat(quarantine.reserved(), equalTo(servers.get(1)));
    }
}
