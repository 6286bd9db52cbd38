package org.chivecourse.gateway.operator;

import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/** Listens for operators, scrapers of metrics and the platform's balancer. */
public final class OperatorListener {

    /** The address to listen on. */
    private final InetSocketAddress address;

    /** Whether the balancer may send callers here. */
    private final BooleanSupplier ready;

    /** Prints the status as JSON. */
    private final Supplier<String> status;

    /** Prints the metrics. */
    private final MetricsPrinter metrics;

    /** Prints the latest steps of the decision core. */
    private final Supplier<String> trace;

    /** The threads that connections run on. */
    private final LoopResources loops;

    /** The listening server, {@code null} before the start. */
    private DisposableServer server;

    /**
     * Creates a listener that is not started.
     *
     * @param address the address to listen on
     * @param ready whether the balancer may send callers here
     * @param status prints the status as JSON
     * @param metrics prints the metrics
     * @param trace prints the latest steps of the decision core
     * @param loops the threads that connections run on
     */
    public OperatorListener(
            InetSocketAddress address,
            BooleanSupplier ready,
            Supplier<String> status,
            MetricsPrinter metrics,
            Supplier<String> trace,
            LoopResources loops) {
        this.loops = loops;
        this.address = address;
        this.ready = ready;
        this.status = status;
        this.metrics = metrics;
        this.trace = trace;
    }

    /**
     * Starts to listen.
     */
    public void start() {
        server = HttpServer.create()
                .runOn(loops)
                .bindAddress(() -> address)
                .route(routes -> routes.get("/health", (request, response) -> sendText(response, () -> "alive\n"))
                        .get("/ready", (request, response) -> sendReadiness(response))
                        .get("/status", (request, response) -> sendJson(response, status))
                        .get("/trace", (request, response) -> sendText(response, trace))
                        .get("/metrics.json", (request, response) -> sendJson(response, metrics::json))
                        .get("/metrics", (request, response) -> sendText(response, metrics::text)))
                .bindNow();
    }

    /**
     * Returns the port that the listener is bound to.
     *
     * @return the port
     */
    public int port() {
        return server.port();
    }

    /**
     * Stops listening.
     */
    public void stop() {
        server.disposeNow();
    }

    /**
     * Answers whether the balancer may send callers here.
     *
     * @param response the answer
     * @return completes when the answer is written
     */
    private Publisher<Void> sendReadiness(HttpServerResponse response) {
        boolean isReady = ready.getAsBoolean();
        return response.status(isReady ? 200 : 503)
                .header("Content-Type", "text/plain; charset=utf-8")
                .sendString(Mono.just(isReady ? "ready\n" : "not ready\n"));
    }

    /**
     * Answers with a text.
     *
     * @param response the answer
     * @param content makes the text
     * @return completes when the answer is written
     */
    private static Publisher<Void> sendText(HttpServerResponse response, Supplier<String> content) {
        return sendContent(response, "text/plain; charset=utf-8", content);
    }

    /**
     * Answers with a JSON document.
     *
     * @param response the answer
     * @param content makes the document
     * @return completes when the answer is written
     */
    private static Publisher<Void> sendJson(HttpServerResponse response, Supplier<String> content) {
        return sendContent(response, "application/json", content);
    }

    /**
     * Answers with content that is made off the event loop.
     *
     * @param response the answer
     * @param mediaType the media type
     * @param content makes the content
     * @return completes when the answer is written
     */
    private static Publisher<Void> sendContent(
            HttpServerResponse response, String mediaType, Supplier<String> content) {
        Mono<String> body = Mono.fromSupplier(content).subscribeOn(Schedulers.boundedElastic());
        return response.header("Content-Type", mediaType).sendString(body);
    }
}
