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

/**
 * Guards against orders with an idempotency key that run twice when duplicates reach two gateways in separate
 * processes: concurrently, after the answer, or while one of the gateways is frozen.
 */
class KeyedDuplicatesIT {

    private static final int ORDERS = 50;

    private static final int TIMESTAMP_SHIFT_BITS = 16;

    @TempDir
    private Path folder;

    private ProcessFleet fleet;

    private Process firstGateway;

    private Process secondGateway;

    private final SplittableRandom random = new SplittableRandom(20261204);

    @BeforeEach
    void start() throws Exception {
        fleet = new ProcessFleet(folder).withConfigurationService();
        fleet.startBackendServer();
        fleet.publish(1, 1000);
        firstGateway = fleet.startGateway("host-1", "-Xmx96m");
        secondGateway = fleet.startGateway("host-2", "-Xmx96m");
        ProcessFleet.await(() -> knowsPeers(firstGateway)
                && knowsPeers(secondGateway)
                && acceptsNewKeys(firstGateway)
                && acceptsNewKeys(secondGateway));
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    private boolean knowsPeers(Process gateway) {
        return ProcessFleet.get(fleet.operatorAddress(gateway), "/status").contains("\"known\" : true");
    }

    /** Returns whether a gateway has run long enough to decide on a key that is created now. */
    private boolean acceptsNewKeys(Process gateway) {
        return send(gateway, createKey()).block(Duration.ofSeconds(30)) == 200;
    }

    /** Returns a UUID of version 7, whose upper bits are the current time in milliseconds. */
    private String createKey() {
        long upper = System.currentTimeMillis() << TIMESTAMP_SHIFT_BITS | 0x7000 | random.nextInt(0x1000);
        return new UUID(upper, random.nextLong() >>> 2 | Long.MIN_VALUE).toString();
    }

    private Mono<Integer> send(Process gateway, String key) {
        return HttpClient.create()
                .headers(headers ->
                        headers.set(HeaderNames.IDEMPOTENCY_KEY, key).set(BackendServerStandIn.REQUEST_ID_HEADER, key))
                .post()
                .uri("http://" + fleet.callerAddress(gateway) + "/jobs/orders")
                .send((request, outbound) -> outbound.sendObject(Unpooled.wrappedBuffer(new byte[] {1})))
                .response()
                .map(response -> response.status().code())
                .onErrorReturn(0);
    }

    private int runsOf(String key, Map<String, Integer> runs) {
        return runs.getOrDefault(key, 0);
    }

    @Test
    void concurrentDuplicatesRunAtMostOnce() {
        List<String> keys = new ArrayList<>();
        for (int order = 0; order < ORDERS; order++) {
            String key = createKey();
            keys.add(key);
            Flux.merge(send(firstGateway, key), send(secondGateway, key), send(firstGateway, key))
                    .collectList()
                    .block(Duration.ofSeconds(30));
        }
        Map<String, Integer> runs = fleet.fetchRunCounts();
        List<Integer> counts = keys.stream().map(key -> runsOf(key, runs)).toList();
        assertThat(counts, everyItem(lessThanOrEqualTo(1)));
        assertThat(counts.stream().mapToInt(Integer::intValue).sum(), greaterThan(ORDERS / 2));
    }

    @Test
    void everyGatewayRefusesDuplicateAfterAnswer() {
        String key = createKey();
        assertThat(send(firstGateway, key).block(Duration.ofSeconds(30)), equalTo(200));
        assertThat(send(secondGateway, key).block(Duration.ofSeconds(30)), equalTo(409));
        assertThat(send(firstGateway, key).block(Duration.ofSeconds(30)), equalTo(409));
        assertThat(runsOf(key, fleet.fetchRunCounts()), equalTo(1));
    }

    @Test
    void refusesKeyedRequestWhilePeerIsFrozen() {
        String key = createKey();
        ProcessFleet.signal(secondGateway, "STOP");
        assertThat(send(firstGateway, key).block(Duration.ofSeconds(30)), equalTo(503));
        assertThat(runsOf(key, fleet.fetchRunCounts()), equalTo(0));
        ProcessFleet.signal(secondGateway, "CONT");
        ProcessFleet.await(() -> send(firstGateway, key).block(Duration.ofSeconds(30)) != 503);
        send(secondGateway, key).block(Duration.ofSeconds(30));
        assertThat(runsOf(key, fleet.fetchRunCounts()), equalTo(1));
    }
}
