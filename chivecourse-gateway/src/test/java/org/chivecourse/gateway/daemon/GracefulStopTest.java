package org.chivecourse.gateway.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsStringIgnoringCase;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.chivecourse.gateway.GatewayFixture;
import org.chivecourse.gateway.RawConnection;
import org.chivecourse.gateway.RawServer;
import org.junit.jupiter.api.Test;

/** Guards against requests that fail because the gateway stops while they are open or just arriving. */
class GracefulStopTest {

    private static final String REQUEST = "GET /jobs/lookups/1 HTTP/1.1\r\nHost: a\r\n\r\n";

    private static final String COMPLETE_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

    private static RawServer.Behaviour answerAfter(CountDownLatch release) {
        return socket -> {
            try {
                release.await(30, TimeUnit.SECONDS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
            socket.getOutputStream().write(COMPLETE_RESPONSE.getBytes());
        };
    }

    @Test
    void finishesOpenExchange() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ExecutorService executor = Executors.newSingleThreadExecutor();
        try (RawServer server = new RawServer(answerAfter(release));
                GatewayFixture fixture = GatewayFixture.of(List.of(server.address()));
                RawConnection caller = new RawConnection(fixture.port())) {
            caller.write(REQUEST);
            GatewayFixture.await(() -> !server.requests().isEmpty());
            Future<Integer> abortedExchanges =
                    executor.submit(() -> fixture.gateway().stop());
            GatewayFixture.await(() -> !fixture.gateway().ready());
            release.countDown();
            assertThat(caller.readHead(), containsStringIgnoringCase("connection: close"));
            assertThat(new String(caller.input().readAllBytes()), endsWith("whole"));
            assertThat(abortedExchanges.get(), equalTo(0));
        } finally {
            executor.shutdownNow();
        }
    }

    @Test
    void servesRequestsThatArriveDuringLinger() throws Exception {
        CountDownLatch release = new CountDownLatch(0);
        ExecutorService executor = Executors.newSingleThreadExecutor();
        try (RawServer server = new RawServer(answerAfter(release));
                GatewayFixture fixture = GatewayFixture.of(List.of(server.address()));
                RawConnection caller = new RawConnection(fixture.port())) {
            Future<Integer> abortedExchanges =
                    executor.submit(() -> fixture.gateway().stop());
            GatewayFixture.await(() -> !fixture.gateway().ready());
            assertThat(caller.write(REQUEST).readAll(), endsWith("whole"));
            assertThat(abortedExchanges.get(), equalTo(0));
        } finally {
            executor.shutdownNow();
        }
    }

    @Test
    void countsAbortedExchangesWhenDrainIsSkipped() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (RawServer server = new RawServer(answerAfter(release));
                GatewayFixture fixture = GatewayFixture.of(List.of(server.address()));
                RawConnection caller = new RawConnection(fixture.port())) {
            caller.write(REQUEST);
            GatewayFixture.await(() -> !server.requests().isEmpty());
            fixture.gateway().skipDrain();
            assertThat(fixture.gateway().stop(), equalTo(1));
            release.countDown();
        }
    }
}
