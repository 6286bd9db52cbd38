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

class CallOutcomeTest {

    private static final String WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

    private static final String REFUSED = "HTTP/1.1 503 No\r\nRefused: before-running\r\nContent-Length: 4\r\n\r\nbusy";

    private static final String LOOKUP = "GET /jobs/lookups/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

    private static final String ORDER =
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

    private static RawServer closing() throws IOException {
        return new RawServer(Socket::close);
    }

    @Test
    void saysNotRunWhenNoConnectionOpens() throws Exception {
        try (GatewayFixture fixture = GatewayFixture.of(List.of(unusedAddress()))) {
            assertThat(
                    exchange(fixture, ORDER),
                    allOf(
                            startsWith("HTTP/1.1 503"),
                            containsString("Chivecourse-Outcome: not-run"),
                            containsString("Retry-After: ")));
        }
    }

    @Test
    void sendsAnOrderElsewhereWhenNoConnectionOpens() throws Exception {
        try (RawServer server = RawServer.answering(WHOLE);
                GatewayFixture fixture = GatewayFixture.of(List.of(unusedAddress(), server.address()))) {
            for (int order = 1; order <= 10; order++) {
                assertThat(exchange(fixture, ORDER), endsWith("whole"));
                assertThat(server.requests(), hasSize(order));
            }
        }
    }

    @Test
    void saysNotRunWhenTheServerRefusesAnOrderAndSendsItNowhereElse() throws Exception {
        try (RawServer refusing = RawServer.answering(REFUSED);
                RawServer second = RawServer.answering(REFUSED);
                GatewayFixture fixture = GatewayFixture.of(List.of(refusing.address(), second.address()))) {
            assertThat(exchange(fixture, ORDER), containsString("Chivecourse-Outcome: not-run"));
            assertThat(refusing.requests().size() + second.requests().size(), equalTo(1));
        }
    }

    @Test
    void saysUnknownWhenTheConnectionOfAnOrderBreaks() throws Exception {
        try (RawServer first = closing();
                RawServer second = closing();
                GatewayFixture fixture = GatewayFixture.of(List.of(first.address(), second.address()))) {
            assertThat(
                    exchange(fixture, ORDER),
                    allOf(
                            startsWith("HTTP/1.1 502"),
                            containsString("Chivecourse-Outcome: unknown"),
                            not(containsString("Retry-After"))));
            assertThat(first.requests().size() + second.requests().size(), equalTo(1));
        }
    }

    @Test
    void sendsALookupElsewhereWhenItsConnectionBreaks() throws Exception {
        try (RawServer broken = closing();
                RawServer server = RawServer.answering(WHOLE);
                GatewayFixture fixture = GatewayFixture.of(List.of(broken.address(), server.address()))) {
            for (int lookup = 0; lookup < 10; lookup++) {
                assertThat(exchange(fixture, LOOKUP), endsWith("whole"));
            }
        }
    }

    @Test
    void passesAnErrorOfTheServerOnToTheCallerOfAnOrder() throws Exception {
        String error = "HTTP/1.1 500 Broken\r\nContent-Length: 5\r\n\r\nsorry";
        try (RawServer server = RawServer.answering(error);
                GatewayFixture fixture = GatewayFixture.of(List.of(server.address()))) {
            assertThat(
                    exchange(fixture, ORDER),
                    allOf(startsWith("HTTP/1.1 500"), not(containsString("Chivecourse-Outcome")), endsWith("sorry")));
        }
    }

    @Test
    void answersAtTheDeadlineOfACallThatIsNotAnswered() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (RawServer server = new RawServer(socket -> await(release));
                GatewayFixture fixture = GatewayFixture.of(List.of(server.address()))) {
            String request = ORDER.replace("Host: a", "Host: a\r\nChivecourse-Deadline-Milliseconds: 50");
            assertThat(
                    exchange(fixture, request),
                    allOf(startsWith("HTTP/1.1 504"), containsString("Chivecourse-Outcome: unknown")));
            release.countDown();
        }
    }

    @Test
    void closesTheConnectionOfACallWhoseCallerLeft() throws Exception {
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
            caller.write(LOOKUP);
            assertThat(arrived.await(20, TimeUnit.SECONDS), equalTo(true));
            caller.close();
            assertThat(closed.await(20, TimeUnit.SECONDS), equalTo(true));
            GatewayFixture.await(() -> fixture.gateway().openCalls() == 0);
        }
    }

    @Test
    void saysUnknownForAKeyedRequestThatItCannotServe() throws Exception {
        try (GatewayFixture fixture = GatewayFixture.of(List.of(unusedAddress()))) {
            String request = ORDER.replace("Host: a", "Host: a\r\nIdempotency-Key: order-7");
            assertThat(exchange(fixture, request), containsString("Chivecourse-Outcome: unknown"));
        }
    }

    @Test
    void aServerThatLeavesTheConfigurationFinishesWhatItHas() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        RawServer.Behaviour slow = socket -> {
            await(release);
            socket.getOutputStream().write(WHOLE.getBytes());
        };
        try (RawServer leaving = new RawServer(slow);
                RawServer staying = RawServer.answering(WHOLE);
                GatewayFixture fixture = GatewayFixture.of(List.of(leaving.address()))) {
            try (RawConnection first = new RawConnection(fixture.port())) {
                first.write(ORDER);
                GatewayFixture.await(() -> !leaving.requests().isEmpty());
                Service other = fixture.service()
                        .backendServers(
                                List.of(BackendServer.at(staying.address()).in("si-a")));
                fixture.publish(2, other);
                GatewayFixture.await(() -> fixture.gateway().status().contains("\"revision\" : 2"));
                assertThat(exchange(fixture, ORDER), endsWith("whole"));
                assertThat(staying.requests(), hasSize(1));
                release.countDown();
                assertThat(first.readAll(), endsWith("whole"));
            }
        }
    }

    @Test
    void refusesAtOnceWhenNoMoreMayWait() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        RawServer.Behaviour slow = socket -> {
            await(release);
            socket.getOutputStream().write(WHOLE.getBytes());
        };
        try (RawServer server = new RawServer(slow);
                GatewayFixture fixture = GatewayFixture.of(
                        List.of(server.address()),
                        service -> service.limits(Limits.DEFAULT.queueLimit(0))
                                .backendServers(
                                        List.of(service.backendServers().get(0).slots(1))))) {
            try (RawConnection first = new RawConnection(fixture.port())) {
                first.write(ORDER);
                GatewayFixture.await(() -> !server.requests().isEmpty());
                assertThat(
                        exchange(fixture, ORDER),
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
