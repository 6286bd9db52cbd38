package org.chivecourse.gateway.operator;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.chivecourse.transport.head.HeadRefusal;
import org.chivecourse.transport.http.ConnectionOptions;
import org.chivecourse.transport.memory.HeldDocuments;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/** Serves operators, metrics scrapers and the readiness checks of the load balancer in front of the gateways. */
public final class OperatorListener {

    /** The time after which a connection without a request is closed. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    /** The address to listen on. */
    private final InetSocketAddress address;

    /** Returns whether the load balancer may send callers to this gateway. */
    private final BooleanSupplier ready;

    /** Returns the status as a JSON document. */
    private final Supplier<String> status;

    /** Formats the metrics. */
    private final MetricsPrinter metrics;

    /** Returns the latest steps of the decision core as JSON lines. */
    private final Supplier<String> trace;

    /** The event loops that connections run on. */
    private final LoopResources loops;

    /** The limits on what operators may make the gateway hold. */
    private final OperatorLimits limits;

    /** The thread that creates documents, one at a time. */
    private final Scheduler worker = Schedulers.newSingle("operators", true);

    /** The listening server, {@code null} before the start. */
    private DisposableServer server;

    /**
     * Creates a listener. It must be started separately.
     *
     * @param address the address to listen on
     * @param ready whether the load balancer may send callers to this gateway
     * @param status returns the status as a JSON document
     * @param metrics formats the metrics
     * @param trace returns the latest steps of the decision core as JSON lines
     * @param loops the event loops that connections run on
     * @param limits the limits on what operators may make the gateway hold
     */
    public OperatorListener(
            InetSocketAddress address,
            BooleanSupplier ready,
            Supplier<String> status,
            MetricsPrinter metrics,
            Supplier<String> trace,
            LoopResources loops,
            OperatorLimits limits) {
        this.loops = loops;
        this.limits = limits;
        this.address = address;
        this.ready = ready;
        this.status = status;
        this.metrics = metrics;
        this.trace = trace;
    }

    /** Starts to listen, and returns once the address is bound. */
    public void start() {
        server = HttpServer.create()
                .runOn(loops)
                .bindAddress(() -> address)
                .idleTimeout(IDLE_TIMEOUT)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, ConnectionOptions.receiveAllocator())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, ConnectionOptions.watermark())
                .doOnChannelInit((observer, channel, remote) -> {
                    limits.connections().admit(channel);
                    limits.heads().addToServer(channel, HeadRefusal.Closing.INSTANCE);
                })
                .route(routes -> routes.get("/health", (request, response) -> sendText(response, () -> "alive\n"))
                        .get("/ready", (request, response) -> sendReadiness(response))
                        .get("/status", (request, response) -> sendJson(response, status))
                        .get("/trace", (request, response) -> sendText(response, trace))
                        .get("/metrics.json", (request, response) -> sendJson(response, metrics::json))
                        .get("/metrics", (request, response) -> sendText(response, metrics::text)))
                .bindNow();
    }

    /** Returns the port that the listener is bound to. */
    public int port() {
        return server.port();
    }

    /** Stops listening and closes open connections. */
    public void stop() {
        server.disposeNow();
        worker.dispose();
    }

    /**
     * Answers a readiness check, with status 503 if the gateway is not ready.
     *
     * @param response the response to write
     * @return completes when the response is written
     */
    private Publisher<Void> sendReadiness(HttpServerResponse response) {
        boolean isReady = ready.getAsBoolean();
        return response.status(isReady ? 200 : 503)
                .header("Content-Type", "text/plain; charset=utf-8")
                .sendString(Mono.just(isReady ? "ready\n" : "not ready\n"));
    }

    /**
     * Answers with plain text.
     *
     * @param response the response to write
     * @param content supplies the text
     * @return completes when the response is written
     */
    private Publisher<Void> sendText(HttpServerResponse response, Supplier<String> content) {
        return sendContent(response, "text/plain; charset=utf-8", content);
    }

    /**
     * Answers with a JSON document.
     *
     * @param response the response to write
     * @param content supplies the document
     * @return completes when the response is written
     */
    private Publisher<Void> sendJson(HttpServerResponse response, Supplier<String> content) {
        return sendContent(response, "application/json", content);
    }

    /**
     * Answers with content that is created on another thread, so that creating it does not block the event loop. Its
     * connection is closed if it is not read and others need the memory.
     *
     * @param response the response to write
     * @param mediaType the media type of the content
     * @param content supplies the content
     * @return completes when the response is written
     */
    private Publisher<Void> sendContent(HttpServerResponse response, String mediaType, Supplier<String> content) {
        response.header("Content-Type", mediaType);
        return Mono.fromSupplier(content)
                .subscribeOn(worker)
                .flatMap(text -> write(response, text.getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Writes a document, and holds its memory until it is written or the connection ends.
     *
     * @param response the response to write
     * @param document the document
     * @return completes when the document is written
     */
    private Mono<Void> write(HttpServerResponse response, byte[] document) {
        AtomicReference<Channel> channel = new AtomicReference<>();
        response.withConnection(connection -> channel.set(connection.channel()));
        HeldDocuments.Document held =
                limits.documents().hold(document.length, () -> channel.get().close());
        return response.sendByteArray(Mono.just(document)).then().doFinally(signal -> held.release());
    }
}
