package org.chivecourse.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.chivecourse.configuration.document.ConstantNames;
import org.chivecourse.configuration.model.RefusalSignal;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.protocol.http.HeaderDialect;
import org.chivecourse.protocol.http.HeaderNames;
import org.chivecourse.protocol.http.ProblemDocument;
import org.chivecourse.protocol.http.RequestTarget;
import org.chivecourse.transport.driver.CoreDriver;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.SignalType;
import reactor.core.publisher.Sinks;
import reactor.netty.NettyOutbound;
import reactor.netty.http.client.HttpClientRequest;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** The exchange of one request and its answer with a caller. */
final class CallerExchange {

    /** The identifier of the call, unique on this host. */
    private final long call;

    /** The request with its parsed values. */
    private final CallerRequest request;

    /** The answer to the caller. */
    private final HttpServerResponse response;

    /** The driver of the decision core. */
    private final CoreDriver driver;

    /** The registry that holds this exchange. */
    private final ExchangeRegistry registry;

    /** Returns whether callers are asked to close their connections after their answers. */
    private final BooleanSupplier stopping;

    /** Receives the publisher that writes the answer as soon as the answer is decided. */
    private final Sinks.One<Mono<Void>> answerSink = Sinks.one();

    /** The time at which the request arrived, in nanoseconds of the monotonic clock. */
    private final long arrivedAtNanoseconds = System.nanoTime();

    /** Whether the answer has been decided. Only the first decision counts. */
    private final AtomicBoolean answerDecided = new AtomicBoolean();

    /** Whether the exchange has ended. */
    private final AtomicBoolean ended = new AtomicBoolean();

    /** The number of bytes that are reserved for answers that are kept whole. */
    private final AtomicLong reservedBytes = new AtomicLong();

    /**
     * Creates an exchange.
     *
     * @param call the identifier of the call
     * @param request the request with its parsed values
     * @param response the answer to the caller
     * @param driver the driver of the decision core
     * @param registry the registry that will hold this exchange
     * @param stopping returns whether callers are asked to close their connections after their answers
     */
    CallerExchange(
            long call,
            CallerRequest request,
            HttpServerResponse response,
            CoreDriver driver,
            ExchangeRegistry registry,
            BooleanSupplier stopping) {
        this.call = call;
        this.request = request;
        this.response = response;
        this.driver = driver;
        this.registry = registry;
        this.stopping = stopping;
    }

    /**
     * Registers the exchange, informs the decision core of the call, and writes the answer when it is decided.
     *
     * @return completes when the answer is written
     */
    Mono<Void> serve() {
        registry.add(this);
        if (request.arrival().forwardedAttempts() > 0) {
            registry.metrics().recordTaking();
        }
        driver.handle(new Event.CallArrived(call, request.arrival()));
        return answerSink.asMono().flatMap(answerWriter -> answerWriter).doFinally(this::end);
    }

    /**
     * Ends the exchange, unless it has ended already, and informs the decision core, which may not have decided the
     * answer yet.
     *
     * @param signal how the exchange ended; any signal other than completion counts as aborted
     */
    private void end(SignalType signal) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        if (signal != SignalType.ON_COMPLETE) {
            registry.metrics().recordAbort();
            registry.log().logAbandonment(request.identifier(), call, elapsedMilliseconds());
        }
        registry.metrics().recordEnd(System.nanoTime() - arrivedAtNanoseconds);
        registry.removeExchange(call);
        registry.memory().buffers().release(reservedBytes.getAndSet(0));
        driver.handle(new Event.CallerDisconnected(call));
    }

    /**
     * Reserves memory for an answer that is kept whole, until the exchange ends.
     *
     * @param bytes the size of the answer's body
     * @return {@code false} if there is not that much left or the exchange has ended
     */
    boolean reserve(long bytes) {
        if (ended.get() || !registry.memory().buffers().reserve(bytes)) {
            return false;
        }
        reservedBytes.addAndGet(bytes);
        if (ended.get()) {
            registry.memory().buffers().release(reservedBytes.getAndSet(0));
        }
        return true;
    }

    /** Returns the time since the request arrived, in milliseconds. */
    long elapsedMilliseconds() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - arrivedAtNanoseconds);
    }

    /** Returns the identifier that the caller gave the request, empty if it gave none. */
    String identifier() {
        return request.identifier();
    }

    /** Returns the fingerprint of the request, which duplicates share. */
    long fingerprint() {
        return request.arrival().fingerprint();
    }

    /** Returns the identifier of the call. */
    long call() {
        return call;
    }

    /** Returns the method of the request. */
    HttpMethod method() {
        return request.request().method();
    }

    /**
     * Returns whether the answer consists of a header only.
     *
     * @return {@code true} for {@code HEAD} requests
     */
    boolean headOnly() {
        return method().equals(HttpMethod.HEAD);
    }

    /** Returns the target of the request. */
    RequestTarget target() {
        return request.target();
    }

    /** Returns the signal by which backend servers refuse the request. */
    RefusalSignal refusalSignal() {
        return request.refusalSignal();
    }

    /** Returns the name of the header field of the refusal signal. */
    String refusalHeader() {
        return request.refusalSignal().header();
    }

    /**
     * Replaces the header fields of an attempt's request, which the HTTP library has filled with its own, by those of
     * the caller's request that are forwarded and those that the gateway adds.
     *
     * @param out the request to the backend server
     * @param send the decision that started the attempt
     */
    void setRequestHeaders(HttpClientRequest out, Decision.Send send) {
        HttpHeaders headers = out.requestHeaders().clear();
        HttpServerRequest in = request.request();
        for (Map.Entry<String, String> header : in.requestHeaders()) {
            if (request.forwards(header.getKey())) {
                headers.add(header.getKey(), header.getValue());
            }
        }
        if (request.chunked()) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
        }
        long remaining = Math.max(1, TimeUnit.NANOSECONDS.toMillis(send.deadline() - System.nanoTime()));
        if (send.forwarded()) {
            headers.set(registry.dialect().deadlineField(), remaining);
            headers.set(HeaderNames.FORWARDED_ATTEMPTS, send.forwardedAttempts());
            headers.set(HeaderNames.FORWARDED_FINGERPRINT, Long.toHexString(fingerprint()));
            return;
        }
        registry.dialect()
                .setRequestHeaders(
                        headers,
                        new HeaderDialect.OutgoingRequest(
                                remaining,
                                request.arrival().depth() + 1,
                                send.number(),
                                send.address(),
                                request.forwardedFor(),
                                in.scheme()));
    }

    /**
     * Sends the body of the request to a backend server.
     *
     * @param outbound the connection
     * @param channel the channel of the connection
     * @return completes when the request is written
     */
    Publisher<Void> sendBody(NettyOutbound outbound, Channel channel) {
        if (request.replayableBody() == null) {
            return outbound.send(registry.memory().pace(request.streamedBody(), channel), buffer -> true);
        }
        if (request.replayableBody().length == 0) {
            return outbound;
        }
        return outbound.sendObject(Unpooled.wrappedBuffer(request.replayableBody()));
    }

    /**
     * Forwards the answer of an attempt to the caller, or drops the attempt if another answer has been decided or the
     * exchange has ended.
     *
     * @param attempt the attempt
     */
    void deliver(BackendAttempt attempt) {
        if (!answerDecided.compareAndSet(false, true)) {
            attempt.drop();
            return;
        }
        if (ended.get()) {
            attempt.drop();
            return;
        }
        registry.log()
                .logDelivery(
                        request.identifier(),
                        attempt.decision(),
                        attempt.response().status().code(),
                        elapsedMilliseconds());
        emitAnswer(Mono.defer(() -> writeAnswer(attempt)));
    }

    /**
     * Writes the answer of an attempt. The body of an answer that has none by definition is discarded.
     *
     * @param attempt the attempt
     * @return completes when the answer is written
     */
    private Mono<Void> writeAnswer(BackendAttempt attempt) {
        response.status(attempt.response().status());
        HttpHeaders headers = response.responseHeaders();
        for (Map.Entry<String, String> header : attempt.response().responseHeaders()) {
            if (!HeaderNames.hopByHop(header.getKey())) {
                headers.add(header.getKey(), header.getValue());
            }
        }
        if (!attempt.decision().forwarded()) {
            headers.remove(HeaderNames.OUTCOME);
        }
        announceCloseIfStopping();
        Flux<ByteBuf> body = attempt.body();
        if (attempt.bodyless()) {
            return body.doOnNext(ByteBuf::release).then(Mono.defer(() -> Mono.from(response.send())));
        }
        return response.send(registry.memory().pace(body, channel()), buffer -> true)
                .then()
                .doOnSuccess(done -> registry.metrics().recordDelivery());
    }

    /** Returns the channel of the caller's connection. */
    private Channel channel() {
        AtomicReference<Channel> channel = new AtomicReference<>();
        response.withConnection(connection -> channel.set(connection.channel()));
        return channel.get();
    }

    /**
     * Answers the call with an error that the gateway generates, unless another answer has been decided.
     *
     * @param refusal the answer
     */
    void refuse(Decision.Refusal refusal) {
        if (!answerDecided.compareAndSet(false, true)) {
            return;
        }
        registry.log().logRefusal(request.identifier(), call, refusal, elapsedMilliseconds());
        emitAnswer(Mono.defer(() -> {
            announceCloseIfStopping();
            registry.metrics().recordRefusal(refusal);
            return writeRefusal(response, refusal, headOnly(), registry.dialect());
        }));
    }

    /**
     * Emits the publisher that writes the answer, on the event loop of the caller's connection.
     *
     * @param answerWriter writes the answer when it is subscribed to
     */
    private void emitAnswer(Mono<Void> answerWriter) {
        response.withConnection(connection -> {
            EventLoop loop = connection.channel().eventLoop();
            if (loop.inEventLoop()) {
                answerSink.tryEmitValue(answerWriter);
            } else {
                loop.execute(() -> answerSink.tryEmitValue(answerWriter));
            }
        });
    }

    /**
     * Writes an error that the gateway generates, with a problem document as its body.
     *
     * @param response the answer to the caller
     * @param refusal the content of the answer
     * @param headOnly whether the answer consists of a header only
     * @param dialect the header fields of callers
     * @return completes when the answer is written
     */
    static Mono<Void> writeRefusal(
            HttpServerResponse response, Decision.Refusal refusal, boolean headOnly, HeaderDialect dialect) {
        byte[] document = ProblemDocument.encode(refusal);
        response.status(refusal.reason().status());
        response.header(HttpHeaderNames.CONTENT_TYPE, ProblemDocument.MEDIA_TYPE);
        response.header(HeaderNames.OUTCOME, ConstantNames.of(refusal.outcome()));
        response.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(document.length));
        if (refusal.retryAfterMilliseconds() > 0) {
            response.header(HeaderNames.RETRY_AFTER, dialect.formatRetryAfter(refusal.retryAfterMilliseconds()));
        }
        return headOnly
                ? response.send().then()
                : response.sendObject(Unpooled.wrappedBuffer(document)).then();
    }

    /** Asks the caller to close its connection if the gateway is stopping. */
    private void announceCloseIfStopping() {
        if (stopping.getAsBoolean()) {
            response.keepAlive(false);
        }
    }
}
