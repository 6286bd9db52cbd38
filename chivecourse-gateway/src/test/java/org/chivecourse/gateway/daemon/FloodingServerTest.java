package org.chivecourse.gateway.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.chivecourse.gateway.GatewayFixture;
import org.chivecourse.gateway.RawConnection;
import org.chivecourse.standin.backend.BackendProfile;
import org.chivecourse.standin.backend.BackendServerStandIn;
import org.chivecourse.standin.backend.Fault;
import org.chivecourse.standin.backend.RunCounts;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against answers without end that a gateway would forward for ever or end as if they were whole. */
class FloodingServerTest {

    private static final String REQUEST = "GET /jobs/lookups/1 HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n";

    @ParameterizedTest
    @EnumSource(
            value = Fault.class,
            names = {"FLOOD", "FLOOD_OF_SMALL_CHUNKS"})
    void cutsAnswerWithoutEnd(Fault fault) throws Exception {
        BackendServerStandIn server = new BackendServerStandIn(
                new InetSocketAddress("127.0.0.1", 0), new BackendProfile(4, Duration.ZERO), new RunCounts(), 1);
        server.start();
        server.setFault(fault);
        try (GatewayFixture fixture =
                        GatewayFixture.of(List.of(server.address()), "http: {largest-body-bytes: 1000000}");
                RawConnection caller = new RawConnection(fixture.port())) {
            String answer = caller.write(REQUEST).readAll();
            assertThat(answer, startsWith("HTTP/1.1 200"));
            assertThat(answer, not(endsWith("0\r\n\r\n")));
        } finally {
            server.stop();
        }
    }
}
