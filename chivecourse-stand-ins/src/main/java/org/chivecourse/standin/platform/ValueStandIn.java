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

/**
 * Simulates a platform service that holds one versioned value, which readers watch by long polling and operators
 * replace.
 */
public final class ValueStandIn {

    /** The path prefix for setting the availability by {@code POST}, followed by its name. */
    public static final String AVAILABILITY_PATH = "/stand-in/availability/";

    /** The path of the value. */
    private final String path;

    /** The maximum time to wait for the listening socket to close. */
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(10);

    /** The address to listen on; port zero selects a free port. */
    private final InetSocketAddress address;

    /** The latest value; version zero stands for no value. */
    private Value latest = new Value(0, "");

    /** The latest value when the availability was last set, served while the service is stale. */
    private Value staleValue = latest;

    /** How readers are answered. */
    private Availability availability = Availability.UP;

    /** The number of reads so far, including those that are still waiting. */
    private long readCount;

    /** Completes at the next change, which wakes waiting readers; replaced at each change. */
    private Sinks.Empty<Void> changeSignal = Sinks.empty();

    /** The listening server, {@code null} before the start. */
    private DisposableServer server;

    /**
     * Creates a service that has no value yet and is not started.
     *
     * @param path the path of the value
     * @param address the address to listen on; port zero selects a free port
     */
    public ValueStandIn(String path, InetSocketAddress address) {
        this.path = path;
        this.address = address;
    }

    /** Binds the address and starts to serve. */
    public void start() {
        server = HttpServer.create()
                .bindAddress(() -> address)
                .route(routes -> routes.get(path, this::handleReadRequest)
                        .put(path, this::handleReplaceRequest)
                        .post(AVAILABILITY_PATH + "{name}", this::handleAvailabilityRequest))
                .bindNow();
    }

    /** Stops listening and waits for the socket to close. */
    public void stop() {
        server.dispose();
        server.onDispose().block(STOP_TIMEOUT);
    }

    /**
     * Returns the address that the service listens on.
     *
     * @return the IP address and the port, separated by a colon
     */
    public String address() {
        return address.getHostString() + ":" + server.port();
    }

    /**
     * Replaces the value, increments its version and wakes waiting readers.
     *
     * @param text the new value
     */
    public synchronized void publish(String text) {
        latest = new Value(latest.version() + 1, text);
        notifyWaitingReaders();
    }

    /**
     * Sets how readers are answered, also those that are waiting.
     *
     * @param newAvailability how readers are answered from now on
     */
    public synchronized void setAvailability(Availability newAvailability) {
        availability = newAvailability;
        staleValue = latest;
        notifyWaitingReaders();
    }

    /** Returns the number of reads so far, including those that are still waiting. */
    public synchronized long readCount() {
        return readCount;
    }

    /** Wakes the waiting readers, which then check the value again. The caller holds this object's monitor. */
    private void notifyWaitingReaders() {
        Sinks.Empty<Void> previousSignal = changeSignal;
        changeSignal = Sinks.empty();
        previousSignal.tryEmitEmpty();
    }

    /**
     * Handles a read of the value by long polling. The query's {@code after} is the version that the reader has, and
     * {@code wait-milliseconds} limits the wait for another version.
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
     * Answers a reader once the value differs from the version that it has, or with status 304 at the deadline.
     *
     * @param response the answer
     * @param knownVersion the version that the reader has
     * @param deadline the time until which the reader waits, in nanoseconds as of {@link System#nanoTime()}
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
     * Replaces the value with the body of a request.
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
     * Sets the availability that the path names.
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
     * Returns a numeric parameter of a request's query.
     *
     * @param request the request
     * @param name the name of the parameter
     * @return the number, zero if the parameter is absent
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
     * Holds a version of the value.
     *
     * @param version the version, zero before the first value is published
     * @param text the content
     */
    private record Value(long version, String text) {}
}
