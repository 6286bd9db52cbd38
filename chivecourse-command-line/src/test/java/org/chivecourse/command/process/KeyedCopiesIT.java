package org.chivecourse.command.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.netty.buffer.Unpooled;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.UUID;
import org.chivecourse.protocol.http.HeaderNames;
import org.chivecourse.standin.backend.BackendServerStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Copies of orders with one key at two gateways that are processes of their own. */
class KeyedCopiesIT {

    private static final int ORDERS = 50;

    private static final int TIME_BITS = 16;

    @TempDir
    private Path folder;

    private ProcessFleet fleet;

    private Process first;

    private Process second;

    private final SplittableRandom random = new SplittableRandom(20261204);

    @BeforeEach
    void start() throws Exception {
        fleet = new ProcessFleet(folder).withConfigurationService();
        fleet.startBackendServer();
        fleet.publish(1, 1000);
        first = fleet.startGateway("host-1", "-Xmx96m");
        second = fleet.startGateway("host-2", "-Xmx96m");
        ProcessFleet.await(() -> knowsPeers(first) && knowsPeers(second) && serves(first) && serves(second));
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    private boolean knowsPeers(Process gateway) {
        return ProcessFleet.get(fleet.operators(gateway), "/status").contains("\"known\" : true");
    }

    /** Returns whether a gateway is old enough to speak for a key that is made now. */
    private boolean serves(Process gateway) {
        return send(gateway, key()).block(Duration.ofSeconds(30)) == 200;
    }

    /** Returns a UUID of version 7. */
    private String key() {
        long upper = System.currentTimeMillis() << TIME_BITS | 0x7000 | random.nextInt(0x1000);
        return new UUID(upper, random.nextLong() >>> 2 | Long.MIN_VALUE).toString();
    }

    private Mono<Integer> send(Process gateway, String key) {
        return HttpClient.create()
                .headers(headers ->
                        headers.set(HeaderNames.IDEMPOTENCY_KEY, key).set(BackendServerStandIn.REQUEST_ID, key))
                .post()
                .uri("http://" + fleet.callers(gateway) + "/jobs/orders")
                .send((request, outbound) -> outbound.sendObject(Unpooled.wrappedBuffer(new byte[] {1})))
                .response()
                .map(response -> response.status().code())
                .onErrorReturn(0);
    }

    private int runsOf(String key, Map<String, Integer> runs) {
        return runs.getOrDefault(key, 0);
    }

    @Test
    void copiesThatArriveTogetherRunOnceAtMostAndMostlyOnce() {
        List<String> keys = new ArrayList<>();
        for (int order = 0; order < ORDERS; order++) {
            String key = key();
            keys.add(key);
            Flux.merge(send(first, key), send(second, key), send(first, key))
                    .collectList()
                    .block(Duration.ofSeconds(30));
        }
        Map<String, Integer> runs = fleet.runs();
        List<Integer> counts = keys.stream().map(key -> runsOf(key, runs)).toList();
        assertThat(counts, everyItem(lessThanOrEqualTo(1)));
        assertThat(counts.stream().mapToInt(Integer::intValue).sum(), greaterThan(ORDERS / 2));
    }

    @Test
    void aCopyAfterTheAnswerIsRefusedByEveryGateway() {
        String key = key();
        assertThat(send(first, key).block(Duration.ofSeconds(30)), equalTo(200));
        assertThat(send(second, key).block(Duration.ofSeconds(30)), equalTo(409));
        assertThat(send(first, key).block(Duration.ofSeconds(30)), equalTo(409));
        assertThat(runsOf(key, fleet.runs()), equalTo(1));
    }

    @Test
    void nothingRunsWhileTheOtherGatewayIsFrozenAndOnceAtMostAfterIt() {
        String key = key();
        ProcessFleet.signal(second, "STOP");
        assertThat(send(first, key).block(Duration.ofSeconds(30)), equalTo(503));
        assertThat(runsOf(key, fleet.runs()), equalTo(0));
        ProcessFleet.signal(second, "CONT");
        ProcessFleet.await(() -> send(first, key).block(Duration.ofSeconds(30)) != 503);
        send(second, key).block(Duration.ofSeconds(30));
        assertThat(runsOf(key, fleet.runs()), equalTo(1));
    }
}
