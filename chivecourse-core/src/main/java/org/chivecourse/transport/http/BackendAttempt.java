package org.chivecourse.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.protocol.http.HeaderDialect;
import org.chivecourse.transport.driver.CoreDriver;
import org.reactivestreams.Publisher;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.Connection;
import reactor.netty.NettyOutbound;
import reactor.netty.channel.ChannelOperations;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientRequest;
import reactor.netty.http.client.HttpClientResponse;

/** One sending of a request to a backend server. */
final class BackendAttempt {

    /** The largest body that is held until it is whole, so that a cut one is not passed on. */
    private static final long MAXIMUM_BUFFERED_BODY_BYTES = 64 * 1024;

    /** The decision that started the attempt. */
    private final Decision.Send send;

    /** The exchange with the caller. */
    private final CallerExchange exchange;

    /** The driver of the decision core. */
    private final CoreDriver driver;

    /** The register that holds this attempt. */
    private final ExchangeRegistry registry;

    /** Whether the core was told the end of the attempt, or does not want to know. */
    private final AtomicBoolean ended = new AtomicBoolean();

    /** Ends the client's interest in the connection. */
    private final Sinks.Empty<Void> answerConsumed = Sinks.empty();

    /** Whether the request may be handed to the connection. */
    private volatile boolean proceeding;

    /** Whether the attempt is abandoned. */
    private volatile boolean dropped;

    /** The body of an answer that has arrived whole, {@code null} if it is passed on as it arrives. */
    private volatile byte[] bufferedBody;

    /** The header of the answer, {@code null} before it arrives. */
    private volatile HttpClientResponse response;

    /** The connection, {@code null} before it is ready. */
    private volatile Connection connection;

    /** The subscription to the client. */
    private volatile Disposable subscription;

    /**
     * Creates an attempt that is not started.
     *
     * @param send the decision that starts the attempt
     * @param exchange the exchange with the caller
     * @param driver the driver of the decision core
     * @param registry the register that holds this attempt
     */
    BackendAttempt(Decision.Send send, CallerExchange exchange, CoreDriver driver, ExchangeRegistry registry) {
        this.send = send;
        this.exchange = exchange;
        this.driver = driver;
        this.registry = registry;
    }

    /**
     * Starts the attempt.
     *
     * @param client the client of the backend server, {@code null} if it is no longer configured
     */
    void start(HttpClient client) {
        if (client == null) {
            handleFailure(new IllegalStateException("backend server " + send.address() + " is not configured"));
            return;
        }
        subscription = client.request(exchange.method())
                .uri(exchange.target().pathAndQuery())
                .send(this::sendRequest)
                .responseConnection(this::handleAnswerHead)
                .subscribe(unit -> {}, this::handleFailure, () -> registry.removeAttempt(send.attempt()));
        if (dropped) {
            subscription.dispose();
        }
    }

    /**
     * Hands the request to a connection if the core still agrees.
     *
     * @param request the request
     * @param outbound the connection
     * @return completes when the request is written, or fails before its first byte
     */
    private Publisher<Void> sendRequest(HttpClientRequest request, NettyOutbound outbound) {
        outbound.withConnection(ready -> connection = ready);
        driver.handle(new Event.AttemptReady(send.attempt()));
        if (!proceeding || dropped) {
            return Mono.error(new IllegalStateException("the attempt was withdrawn"));
        }
        registry.metrics().recordAttempt(send.number());
        exchange.setRequestHeaders(request, send);
        return exchange.sendBody(outbound);
    }

    /**
     * Tells the core the header of the answer.
     *
     * @param head the header of the answer
     * @param answering the connection
     * @return completes when the connection is no longer of interest
     */
    private Publisher<Void> handleAnswerHead(HttpClientResponse head, Connection answering) {
        response = head;
        connection = answering;
        if (dropped) {
            closeConnection();
            return Mono.empty();
        }
        KeepAliveTimeout.recordStatedTimeout(answering.channel(), head.responseHeaders());
        HeaderDialect dialect = registry.dialect();
        HttpHeaders headers = head.responseHeaders();
        int status = head.status().code();
        String mismatch = dialect.mismatchReason(exchange.identifier(), status, headers);
        if (mismatch != null) {
            return reportBrokenAnswer(mismatch);
        }
        Event.AnswerHead answer = dialect.readAnswerHead(status, headers, exchange.refusalSignal());
        long statedLength = statedLength();
        if (bodyless() || statedLength < 0 || statedLength > MAXIMUM_BUFFERED_BODY_BYTES) {
            driver.handle(new Event.AnswerStarted(send.attempt(), answer));
            return answerConsumed.asMono();
        }
        return answering
                .inbound()
                .receive()
                .aggregate()
                .asByteArray()
                .defaultIfEmpty(new byte[0])
                .flatMap(body -> handleBufferedBody(body, statedLength, answer));
    }

    /**
     * Tells the core the header of an answer that has arrived whole.
     *
     * @param body the body
     * @param statedLength the length that the header states
     * @param answer what the header says
     * @return completes when the connection is no longer of interest
     */
    private Mono<Void> handleBufferedBody(byte[] body, long statedLength, Event.AnswerHead answer) {
        if (body.length != statedLength) {
            return reportBrokenAnswer("the answer has " + body.length + " octets in place of " + statedLength);
        }
        bufferedBody = body;
        driver.handle(new Event.AnswerStarted(send.attempt(), answer));
        return Mono.empty();
    }

    /**
     * Returns the decision that started the attempt.
     *
     * @return the decision
     */
    Decision.Send decision() {
        return send;
    }

    /**
     * Reports an unusable answer.
     *
     * @param reason what is wrong
     * @return completes at once
     */
    private Mono<Void> reportBrokenAnswer(String reason) {
        closeConnection();
        if (ended.compareAndSet(false, true)) {
            registry.log().logAttemptFailure(exchange.identifier(), send, true, reason);
            driver.handle(new Event.AttemptBroken(send.attempt(), reason));
        }
        return Mono.empty();
    }

    /**
     * Returns whether the answer has no body by definition.
     *
     * @return {@code true} for answers to {@code HEAD} and with status 204 or 304
     */
    boolean bodyless() {
        HttpResponseStatus status = response.status();
        return exchange.headOnly()
                || status.equals(HttpResponseStatus.NO_CONTENT)
                || status.equals(HttpResponseStatus.NOT_MODIFIED);
    }

    /**
     * Returns the header of the answer.
     *
     * @return the header
     */
    HttpClientResponse response() {
        return response;
    }

    /**
     * Returns the body of the answer; its end is told to the core.
     *
     * @return the buffers, each to be released by the subscriber, or a failure if they are fewer or more octets than
     *     the header of the answer states
     */
    Flux<ByteBuf> body() {
        byte[] wholeBody = bufferedBody;
        if (wholeBody != null) {
            return Flux.defer(() -> Flux.just(Unpooled.wrappedBuffer(wholeBody)))
                    .doFinally(signal -> handleCompletion());
        }
        long statedLength = bodyless() ? -1 : statedLength();
        AtomicLong receivedLength = new AtomicLong();
        return connection
                .inbound()
                .receive()
                .retain()
                .doOnNext(buffer -> receivedLength.addAndGet(buffer.readableBytes()))
                .concatWith(Mono.defer(() -> checkLength(statedLength, receivedLength.get())))
                .doOnComplete(this::handleCompletion)
                .doOnError(this::handleFailure)
                .doOnCancel(this::drop);
    }

    /**
     * Returns the length that the header of the answer states.
     *
     * @return the number of octets, negative if it states none
     */
    private long statedLength() {
        String length = response.responseHeaders().get(HttpHeaderNames.CONTENT_LENGTH);
        return length == null ? -1 : Long.parseLong(length);
    }

    /**
     * Fails if the octets of an answer are not as many as its header states.
     *
     * @param statedLength the number that the header states, negative if it states none
     * @param receivedLength the number of octets
     * @return completes if the numbers agree
     */
    private static Mono<ByteBuf> checkLength(long statedLength, long receivedLength) {
        if (statedLength < 0 || statedLength == receivedLength) {
            return Mono.empty();
        }
        return Mono.error(new IOException("the answer has " + receivedLength + " octets in place of " + statedLength));
    }

    /**
     * Tells the core that the answer is whole.
     */
    private void handleCompletion() {
        if (ended.compareAndSet(false, true)) {
            driver.handle(new Event.AnswerCompleted(send.attempt()));
        }
        answerConsumed.tryEmitEmpty();
    }

    /**
     * Tells the core that the attempt failed.
     *
     * @param cause what happened
     */
    private void handleFailure(Throwable cause) {
        registry.removeAttempt(send.attempt());
        answerConsumed.tryEmitEmpty();
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        String reason = cause.getClass().getSimpleName() + ": " + cause.getMessage();
        registry.log().logAttemptFailure(exchange.identifier(), send, proceeding, reason);
        if (proceeding) {
            driver.handle(new Event.AttemptBroken(send.attempt(), reason));
        } else {
            driver.handle(new Event.AttemptUnsent(send.attempt(), reason));
        }
    }

    /**
     * Allows the request to be handed to the connection.
     */
    void proceed() {
        proceeding = true;
    }

    /**
     * Ends an attempt that sent nothing.
     */
    void withdraw() {
        ended.set(true);
        registry.removeAttempt(send.attempt());
    }

    /**
     * Abandons the attempt and closes its connection.
     */
    void drop() {
        ended.set(true);
        dropped = true;
        registry.removeAttempt(send.attempt());
        if (bufferedBody != null) {
            return;
        }
        closeConnection();
        answerConsumed.tryEmitEmpty();
        Disposable openSubscription = subscription;
        if (openSubscription != null) {
            openSubscription.dispose();
        }
    }

    /**
     * Closes the connection so that nothing uses it again, unless its exchange is over and another one uses it already.
     */
    private void closeConnection() {
        Connection openConnection = connection;
        if (openConnection == null) {
            return;
        }
        EventLoop loop = openConnection.channel().eventLoop();
        if (loop.inEventLoop()) {
            closeIfOwned(openConnection);
        } else {
            loop.execute(() -> closeIfOwned(openConnection));
        }
    }

    /**
     * Closes a connection on its own thread, on which it is also given back to the pool.
     *
     * @param openConnection the connection as this attempt knows it
     */
    private static void closeIfOwned(Connection openConnection) {
        if (ChannelOperations.get(openConnection.channel()) == openConnection) {
            openConnection.channel().close();
        }
    }
}
