package org.chivecourse.command.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.file.Path;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reactor.core.publisher.Flux;
import reactor.netty.http.client.HttpClient;

/**
 * Guards against buffering of bodies in a gateway: a body larger than its heap would exhaust the memory unless the
 * gateway streams it in both directions.
 */
class LargeBodyIT {

    private static final int CHUNK_COUNT = 1024;

    private static final int CHUNK_BYTES = 64 * 1024;

    @TempDir
    private Path folder;

    @Test
    void streams64MebibyteBodiesThrough40MebibyteHeap() throws Exception {
        try (ProcessFleet fleet = new ProcessFleet(folder).withConfigurationService()) {
            fleet.startBackendServer();
            fleet.publish(1, 10);
            Process gateway = fleet.startGateway("host-1", "-Xmx40m");
            CRC32C sent = new CRC32C();
            CRC32C received = new CRC32C();
            SplittableRandom random = new SplittableRandom(3);
            Flux<ByteBuf> body = Flux.range(0, CHUNK_COUNT).map(index -> {
                byte[] bytes = new byte[CHUNK_BYTES];
                random.nextBytes(bytes);
                sent.update(bytes);
                return Unpooled.wrappedBuffer(bytes);
            });
            Long size = HttpClient.create()
                    .post()
                    .uri("http://" + fleet.callerAddress(gateway) + "/jobs/orders/echo")
                    .send((request, outbound) -> outbound.send(body))
                    .responseContent()
                    .asByteArray()
                    .doOnNext(received::update)
                    .map(bytes -> (long) bytes.length)
                    .reduce(0L, Long::sum)
                    .block(Duration.ofSeconds(60));
            assertThat(size, equalTo((long) CHUNK_COUNT * CHUNK_BYTES));
            assertThat(received.getValue(), equalTo(sent.getValue()));
        }
    }
}
