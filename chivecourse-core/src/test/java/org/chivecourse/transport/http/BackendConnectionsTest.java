package org.chivecourse.transport.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.transport.crossing.CrossingMetrics;
import org.chivecourse.transport.head.HeadLimits;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.LoopResources;

/** Guards against a stop of the gateway that ends early because connections take long to close. */
class BackendConnectionsTest {

    private final LoopResources loops = LoopResources.create("test", 1, true);

    private final MetricRegistry metrics = new MetricRegistry();

    private final BackendConnections connections = new BackendConnections(
            1,
            HttpSettings.DEFAULT,
            () -> null,
            loops,
            new CrossingMetrics(metrics, "a"),
            HeadLimits.ofAnswers(1_000_000, 100, metrics));

    @Test
    void closeThatTakesLongDoesNotFail() throws Exception {
        DisposableServer server = HttpServer.create()
                .bindAddress(() -> new InetSocketAddress("127.0.0.1", 0))
                .handle((request, response) -> response.sendString(Mono.just("answer")))
                .bindNow();
        String address = "127.0.0.1:" + server.port();
        CountDownLatch closed = new CountDownLatch(1);
        try {
            connections.apply(List.of(BackendServer.at(address).in("a")));
            HttpClient client = connections.client(address);
            assertThat(
                    client.get()
                            .uri("/")
                            .responseContent()
                            .aggregate()
                            .asString()
                            .block(),
                    equalTo("answer"));
            loops.onClient(true).execute(() -> awaitUninterruptibly(closed));
            assertDoesNotThrow(connections::close);
        } finally {
            closed.countDown();
            server.disposeNow();
            loops.dispose();
        }
    }

    /** Keeps an event loop from closing connections. */
    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
