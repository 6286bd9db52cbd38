package org.chivecourse.standin.platform;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.chivecourse.protocol.platform.PlatformProtocol;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** A stand-in of the platform that holds one value, which readers watch and operators replace. */
public final class ValueStandIn {

    /** The path below which the availability is set, by {@code POST}. */
    public static final String AVAILABILITY_PATH = "/stand-in/availability/";

    /** The path of the value. */
    private final String path;

    /** The longest time that a stop takes. */
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(10);

    /** The address to listen on. */
    private final InetSocketAddress address;

    /** The latest value. */
    private Value latest = new Value(0, "");

    /** The value that readers get while the stand-in is stale. */
    private Value staleValue = latest;

    /** How readers are answered. */
    private Availability availability = Availability.UP;

    /** The number of reads so far, waiting ones included. */
    private long readCount;

    /** Wakes the readers that wait. */
    private Sinks.Empty<Void> changeSignal = Sinks.empty();

    /** The listening server. */
    private DisposableServer server;

    /**
     * Creates a stand-in without a value.
     *
     * @param path the path of the value
     * @param address the address to listen on
     */
    public ValueStandIn(String path, InetSocketAddress address) {
        this.path = path;
        this.address = address;
    }

    /**
     * Starts to listen.
     */
    public void start() {
        server = HttpServer.create()
                .bindAddress(() -> address)
                .route(routes -> routes.get(path, this::handleReadRequest)
                        .put(path, this::handleReplaceRequest)
                        .post(AVAILABILITY_PATH + "{name}", this::handleAvailabilityRequest))
                .bindNow();
    }

    /**
     * Stops listening.
     */
    public void stop() {
        server.dispose();
        server.onDispose().block(STOP_TIMEOUT);
    }

    /**
     * Returns the address that the stand-in listens on.
     *
     * @return the IP number and port
     */
    public String address() {
        return address.getHostString() + ":" + server.port();
    }

    /**
     * Replaces the value.
     *
     * @param text the value
     */
    public synchronized void publish(String text) {
        latest = new Value(latest.version() + 1, text);
        notifyWaitingReaders();
    }

    /**
     * Sets how readers are answered.
     *
     * @param next how readers are answered from now on
     */
    public synchronized void setAvailability(Availability next) {
        availability = next;
        staleValue = latest;
        notifyWaitingReaders();
    }

    /**
     * Returns the number of reads so far.
     *
     * @return the number of reads, waiting ones included
     */
    public synchronized long readCount() {
        return readCount;
    }

    /**
     * Wakes the readers that wait.
     */
    private void notifyWaitingReaders() {
        Sinks.Empty<Void> previousSignal = changeSignal;
        changeSignal = Sinks.empty();
        previousSignal.tryEmitEmpty();
    }

    /**
     * Answers a reader.
     *
     * @param request the request
     * @param response the answer
     * @return completes when the answer is written
     */
    private Publisher<Void> handleReadRequest(HttpServerRequest request, HttpServerResponse response) {
        synchronized (this) {
            readCount++;
        }
        long knownVersion = queryParameter(request, "after");
        long deadline = System.nanoTime()
                + Duration.ofMillis(queryParameter(request, "wait-milliseconds"))
                        .toNanos();
        return answerWhenChanged(response, knownVersion, deadline);
    }

    /**
     * Answers a reader now or once there is something to tell.
     *
     * @param response the answer
     * @param knownVersion the version that the reader has
     * @param deadline the time in nanoseconds until which the reader waits
     * @return completes when the answer is written
     */
    private synchronized Mono<Void> answerWhenChanged(HttpServerResponse response, long knownVersion, long deadline) {
        if (availability == Availability.DOWN) {
            return response.status(503).send();
        }
        Value value = availability == Availability.STALE ? staleValue : latest;
        if (value.version() != knownVersion && value.version() > 0) {
            response.header(PlatformProtocol.VERSION_HEADER, Long.toString(value.version()));
            return response.sendString(Mono.just(value.text())).then();
        }
        long remaining = deadline - System.nanoTime();
        if (remaining <= 0) {
            return response.status(304).send();
        }
        Mono<Void> changeOrTimeout = changeSignal.asMono().timeout(Duration.ofNanos(remaining), Mono.empty());
        return changeOrTimeout.then(Mono.defer(() -> answerWhenChanged(response, knownVersion, deadline)));
    }

    /**
     * Replaces the value by the body of a request.
     *
     * @param request the request
     * @param response the answer
     * @return completes when the answer is written
     */
    private Publisher<Void> handleReplaceRequest(HttpServerRequest request, HttpServerResponse response) {
        return request.receive().aggregate().asString().defaultIfEmpty("").flatMap(text -> {
            publish(text);
            return response.status(204).send();
        });
    }

    /**
     * Sets how readers are answered.
     *
     * @param request the request
     * @param response the answer
     * @return completes when the answer is written
     */
    private Publisher<Void> handleAvailabilityRequest(HttpServerRequest request, HttpServerResponse response) {
        String name = Optional.ofNullable(request.param("name")).orElse("up");
        setAvailability(Availability.valueOf(name.toUpperCase(Locale.ROOT)));
        return response.status(204).send();
    }

    /**
     * Returns a number of a request's query.
     *
     * @param request the request
     * @param name the name of the parameter
     * @return the number, zero if it is absent
     */
    private static long queryParameter(HttpServerRequest request, String name) {
        int start = request.uri().indexOf(name + "=");
        if (start < 0) {
            return 0;
        }
        String rest = request.uri().substring(start + name.length() + 1);
        int end = rest.indexOf('&');
        return Long.parseLong(end < 0 ? rest : rest.substring(0, end));
    }

    /**
     * A value.
     *
     * @param version the number of the value, zero before the first
     * @param text the value
     */
    private record Value(long version, String text) {}
}
