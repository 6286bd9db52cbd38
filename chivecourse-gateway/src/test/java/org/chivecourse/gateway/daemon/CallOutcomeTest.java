package org.chivecourse.gateway.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.Limits;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.gateway.GatewayFixture;
import org.chivecourse.gateway.RawConnection;
import org.chivecourse.gateway.RawServer;
import org.junit.jupiter.api.Test;

/**
 * Guards against wrong outcomes in a gateway's own answers. A caller may safely retry an order only if the answer
 * contains {@code not-run}, so a gateway must not use that outcome once a backend server may have run the order.
 */
class CallOutcomeTest {

    private static final String COMPLETE_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

    private static final String REFUSAL_RESPONSE =
            "HTTP/1.1 503 No\r\nRefused: before-running\r\nContent-Length: 4\r\n\r\nbusy";

    private static final String LOOKUP_REQUEST = "GET /jobs/lookups/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

    private static final String ORDER_REQUEST =
            "POST /jobs/orders HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi";

    private static String unusedAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    private static String exchange(GatewayFixture fixture, String request) throws IOException {
        try (RawConnection caller = new RawConnection(fixture.port())) {
            return caller.write(request).readAll();
        }
    }

    private static RawServer closingServer() throws IOException {
        return new RawServer(Socket::close);
    }

    @Test
    void reportsNotRunWhenNoConnectionOpens() throws Exception {
        try (GatewayFixture fixture = GatewayFixture.of(List.of(unusedAddress()))) {
            assertThat(
                    exchange(fixture, ORDER_REQUEST),
                    allOf(
                            startsWith("HTTP/1.1 503"),
                            containsString("Chivecourse-Outcome: not-run"),
                            containsString("Retry-After: ")));
        }
    }

    @Test
    void retriesOrderOnAnotherServerWhenConnectFails() throws Exception {
        try (RawServer server = RawServer.answering(COMPLETE_RESPONSE);
                GatewayFixture fixture = GatewayFixture.of(List.of(unusedAddress(), server.address()))) {
            for (int order = 1; order <= 10; order++) {
                assertThat(exchange(fixture, ORDER_REQUEST), endsWith("whole"));
                assertThat(server.requests(), hasSize(order));
            }
        }
    }

    @Test
    void reportsNotRunWithoutRetryWhenServerRefusesOrder() throws Exception {
        try (RawServer refusing = RawServer.answering(REFUSAL_RESPONSE);
                RawServer second = RawServer.answering(REFUSAL_RESPONSE);
                GatewayFixture fixture = GatewayFixture.of(List.of(refusing.address(), second.address()))) {
            assertThat(exchange(fixture, ORDER_REQUEST), containsString("Chivecourse-Outcome: not-run"));
            assertThat(refusing.requests().size() + second.requests().size(), equalTo(1));
        }
    }

    @Test
    void reportsUnknownWhenOrderConnectionBreaks() throws Exception {
        try (RawServer first = closingServer();
                RawServer second = closingServer();
                GatewayFixture fixture = GatewayFixture.of(List.of(first.address(), second.address()))) {
            assertThat(
                    exchange(fixture, ORDER_REQUEST),
                    allOf(
                            startsWith("HTTP/1.1 502"),
                            containsString("Chivecourse-Outcome: unknown"),
                            not(containsString("Retry-After"))));
            assertThat(first.requests().size() + second.requests().size(), equalTo(1));
        }
    }

    @Test
    void retriesLookupOnAnotherServerWhenConnectionBreaks() throws Exception {
        try (RawServer broken = closingServer();
                RawServer server = RawServer.answering(COMPLETE_RESPONSE);
                GatewayFixture fixture = GatewayFixture.of(List.of(broken.address(), server.address()))) {
            for (int lookup = 0; lookup < 10; lookup++) {
                assertThat(exchange(fixture, LOOKUP_REQUEST), endsWith("whole"));
            }
        }
    }

    @Test
    void forwardsServerErrorToCallerOfOrder() throws Exception {
        String error = "HTTP/1.1 500 Broken\r\nContent-Length: 5\r\n\r\nsorry";
        try (RawServer server = RawServer.answering(error);
                GatewayFixture fixture = GatewayFixture.of(List.of(server.address()))) {
            assertThat(
                    exchange(fixture, ORDER_REQUEST),
                    allOf(startsWith("HTTP/1.1 500"), not(containsString("Chivecourse-Outcome")), endsWith("sorry")));
        }
    }

    @Test
    void answersGatewayTimeoutAtDeadlineWhenServerIsSilent() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (RawServer server = new RawServer(socket -> await(release));
                GatewayFixture fixture = GatewayFixture.of(List.of(server.address()))) {
            String request = ORDER_REQUEST.replace("Host: a", "Host: a\r\nChivecourse-Deadline-Milliseconds: 50");
            assertThat(
                    exchange(fixture, request),
                    allOf(startsWith("HTTP/1.1 504"), containsString("Chivecourse-Outcome: unknown")));
            release.countDown();
        }
    }

    @Test
    void closesBackendConnectionWhenCallerDisconnects() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        RawServer.Behaviour untilClosed = socket -> {
            arrived.countDown();
            while (socket.getInputStream().read() >= 0) {
                continue;
            }
            closed.countDown();
        };
        try (RawServer server = new RawServer(untilClosed);
                GatewayFixture fixture = GatewayFixture.of(List.of(server.address()))) {
            RawConnection caller = new RawConnection(fixture.port());
            caller.write(LOOKUP_REQUEST);
            assertThat(arrived.await(20, TimeUnit.SECONDS), equalTo(true));
            caller.close();
            assertThat(closed.await(20, TimeUnit.SECONDS), equalTo(true));
            GatewayFixture.await(() -> fixture.gateway().openCalls() == 0);
        }
    }

    @Test
    void reportsUnknownForKeyedRequestWhenNoConnectionOpens() throws Exception {
        try (GatewayFixture fixture = GatewayFixture.of(List.of(unusedAddress()))) {
            String request = ORDER_REQUEST.replace("Host: a", "Host: a\r\nIdempotency-Key: order-7");
            assertThat(exchange(fixture, request), containsString("Chivecourse-Outcome: unknown"));
        }
    }

    @Test
    void removedServerFinishesItsOpenCalls() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        RawServer.Behaviour slow = socket -> {
            await(release);
            socket.getOutputStream().write(COMPLETE_RESPONSE.getBytes());
        };
        try (RawServer removed = new RawServer(slow);
                RawServer added = RawServer.answering(COMPLETE_RESPONSE);
                GatewayFixture fixture = GatewayFixture.of(List.of(removed.address()))) {
            try (RawConnection first = new RawConnection(fixture.port())) {
                first.write(ORDER_REQUEST);
                GatewayFixture.await(() -> !removed.requests().isEmpty());
                Service changedService = fixture.service()
                        .backendServers(
                                List.of(BackendServer.at(added.address()).in("si-a")));
                fixture.publish(2, changedService);
                GatewayFixture.await(() -> fixture.gateway().status().contains("\"revision\" : 2"));
                assertThat(exchange(fixture, ORDER_REQUEST), endsWith("whole"));
                assertThat(added.requests(), hasSize(1));
                release.countDown();
                assertThat(first.readAll(), endsWith("whole"));
            }
        }
    }

    @Test
    void refusesImmediatelyWhenQueueIsFull() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        RawServer.Behaviour slow = socket -> {
            await(release);
            socket.getOutputStream().write(COMPLETE_RESPONSE.getBytes());
        };
        try (RawServer server = new RawServer(slow);
                GatewayFixture fixture = GatewayFixture.of(
                        List.of(server.address()),
                        service -> service.limits(Limits.DEFAULT.queueLimit(0))
                                .backendServers(
                                        List.of(service.backendServers().get(0).slots(1))))) {
            try (RawConnection first = new RawConnection(fixture.port())) {
                first.write(ORDER_REQUEST);
                GatewayFixture.await(() -> !server.requests().isEmpty());
                assertThat(
                        exchange(fixture, ORDER_REQUEST),
                        allOf(startsWith("HTTP/1.1 503"), containsString("not-run"), containsString("Retry-After: ")));
                release.countDown();
                assertThat(first.readAll(), endsWith("whole"));
            }
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(30, TimeUnit.SECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
