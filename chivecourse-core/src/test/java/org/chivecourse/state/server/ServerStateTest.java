package org.chivecourse.state.server;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.ServerMode;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests of other gateways that are counted twice or not at all, when a load report arrives before or
 * after the digests that report them.
 */
class ServerStateTest {

    private final ServerState server =
            new ServerState(new BackendServer("10.0.0.1:80", "dc-0", 4, 10, ServerMode.ACTIVE, "i-1"), 0, true);

    @Test
    void subtractsOwnRequestsStartedBeforeReport() {
        server.beginRequest(10);
        server.recordReport(new LoadReport(3, 4), 20);
        assertThat(server.othersInFlight(), is(2));
    }

    @Test
    void keepsReportedRequestsWhenOwnStartedLater() {
        server.beginRequest(30);
        server.recordReport(new LoadReport(3, 4), 20);
        assertThat(server.othersInFlight(), is(3));
    }

    @Test
    void countsRequestsDispatchedByOthersSinceReport() {
        server.recordReport(new LoadReport(1, 4), 20);
        server.recordOthersDispatched(2, 25);
        assertThat(server.othersInFlight(), is(3));
    }

    @Test
    void ignoresRequestsDispatchedByOthersBeforeReport() {
        server.recordReport(new LoadReport(1, 4), 20);
        server.recordOthersDispatched(2, 15);
        assertThat(server.othersInFlight(), is(1));
    }

    @Test
    void newReportReplacesEarlierDispatches() {
        server.recordReport(new LoadReport(1, 4), 20);
        server.recordOthersDispatched(2, 25);
        server.recordReport(new LoadReport(2, 4), 30);
        assertThat(server.othersInFlight(), is(2));
    }

    @Test
    void totalIncludesRequestsDispatchedByOthers() {
        ReportedTotal total = new ReportedTotal();
        total.track(List.of(server));
        server.recordReport(new LoadReport(1, 4), 20);
        server.recordOthersDispatched(2, 25);
        assertThat(total.averagePerServer(), is(3.0));
    }
}
