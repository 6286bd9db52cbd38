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
import org.chivecourse.configuration.document.ConstantNames;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.Outcome;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.protocol.http.HeaderDialect;
import org.chivecourse.protocol.http.HeaderNames;
import org.chivecourse.transport.driver.CoreDriver;
import org.reactivestreams.Publisher;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.publisher.SynchronousSink;
import reactor.netty.Connection;
import reactor.netty.NettyOutbound;
import reactor.netty.channel.ChannelOperations;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientRequest;
import reactor.netty.http.client.HttpClientResponse;

/** An attempt to get a request answered by a backend server. */
final class BackendAttempt {

    /**
     * The maximum size of an answer's body that is read completely before the answer is forwarded, so that a truncated
     * answer never reaches the caller.
     */
    private static final long MAXIMUM_BUFFERED_BODY_BYTES = 64 * 1024;

    /** The lowest status code of answers that are not merely informational. */
    private static final int FIRST_FINAL_STATUS = 200;

    /** The decision that started the attempt. */
    private final Decision.Send send;

    /** The exchange with the caller. */
    private final CallerExchange exchange;

    /** The driver of the decision core. */
    private final CoreDriver driver;

    /** The registry that holds this attempt. */
    private final ExchangeRegistry registry;

    /** Whether the decision core has been informed of the attempt's end, or ended the attempt itself. */
    private final AtomicBoolean ended = new AtomicBoolean();

    /** Completes when the answer has been consumed. The client keeps the connection for the attempt until then. */
    private final Sinks.Empty<Void> answerConsumed = Sinks.empty();

    /** Whether the decision core allowed the request to be dispatched. */
    private volatile boolean proceeding;

    /** Whether the attempt has been dropped. */
    private volatile boolean dropped;

    /** The body of an answer that was read completely, {@code null} if the body is forwarded while it arrives. */
    private volatile byte[] bufferedBody;

    /** The header of the answer, {@code null} before it arrives. */
    private volatile HttpClientResponse response;

    /** The connection, {@code null} before it is ready. */
    private volatile Connection connection;

    /** The subscription to the client, {@code null} before the start. */
    private volatile Disposable subscription;

    /**
     * Creates an attempt that is not started.
     *
     * @param send the decision that starts the attempt
     * @param exchange the exchange with the caller
     * @param driver the driver of the decision core
     * @param registry the registry that holds this attempt
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
     * @param client the client of the backend server, {@code null} if the backend server is no longer configured, in
     *     which case the attempt fails
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
     * Sends the request if the decision core still allows it now that the connection is ready.
     *
     * @param request the request to the backend server
     * @param outbound the connection
     * @return completes when the request is written, or fails before its first byte if the attempt was withdrawn or
     *     dropped
     */
    private Publisher<Void> sendRequest(HttpClientRequest request, NettyOutbound outbound) {
        outbound.withConnection(ready -> connection = ready);
        driver.handle(new Event.AttemptReady(send.attempt()));
        if (!proceeding || dropped) {
            return Mono.error(new IllegalStateException("the attempt was withdrawn"));
        }
        registry.metrics().recordAttempt(send, connection.channel());
        exchange.setRequestHeaders(request, send);
        return exchange.sendBody(outbound, connection.channel());
    }

    /**
     * Checks the header of the answer and informs the decision core, immediately or, if the body is small, after it has
     * arrived completely.
     *
     * @param head the header of the answer
     * @param answering the connection
     * @return completes when the connection is no longer needed
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
        String mismatch = mismatchReason(status, headers);
        if (mismatch != null) {
            return reportBrokenAnswer(mismatch);
        }
        Event.AnswerHead answer = send.forwarded()
                ? readForwardedAnswerHead(status, headers)
                : dialect.readAnswerHead(status, headers, exchange.refusalSignal());
        registry.metrics().recordAnswer(send, answer);
        boolean identified = dialect.identifies(exchange.identifier(), headers);
        if (!send.forwarded() && (answer.refused() || !identified)) {
            BackendConnections.closeAfterAnswer(answering);
        }
        long statedLength = statedLength();
        if (bodyless()
                || statedLength < 0
                || statedLength > MAXIMUM_BUFFERED_BODY_BYTES
                || !exchange.reserve(statedLength)) {
            driver.handle(new Event.AnswerStarted(send.attempt(), answer));
            return answerConsumed.asMono();
        }
        return WholeBody.read(answering.inbound().receive(), (int) statedLength)
                .flatMap(body -> handleBufferedBody(body, statedLength, answer));
    }

    /**
     * Returns why an answer cannot be the complete answer to the request. One that another gateway created itself needs
     * no identifier.
     *
     * @param status the status code
     * @param headers the header fields of the answer
     * @return the reason, {@code null} if the answer is acceptable
     */
    private String mismatchReason(int status, HttpHeaders headers) {
        if (status < FIRST_FINAL_STATUS) {
            return "informational status " + status;
        }
        boolean createdByGateway = send.forwarded() && headers.contains(HeaderNames.OUTCOME);
        return createdByGateway ? null : registry.dialect().mismatchReason(exchange.identifier(), status, headers);
    }

    /**
     * Reads the head of an answer that came through another gateway. What a backend server states of itself in it is
     * for that gateway.
     *
     * @param status the status code
     * @param headers the header fields of the answer
     * @return the properties of the answer that the decision core needs
     */
    private static Event.AnswerHead readForwardedAnswerHead(int status, HttpHeaders headers) {
        boolean refused = ConstantNames.of(Outcome.NOT_RUN).equals(headers.get(HeaderNames.OUTCOME));
        return new Event.AnswerHead(status, refused, false, null);
    }

    /**
     * Informs the decision core of an answer whose body has arrived completely.
     *
     * @param body the body
     * @param statedLength the length of the body that the header states
     * @param answer the properties of the answer that the decision core needs
     * @return completes when the connection is no longer needed
     */
    private Mono<Void> handleBufferedBody(byte[] body, long statedLength, Event.AnswerHead answer) {
        if (body.length != statedLength) {
            return reportBrokenAnswer(
                    "the answer has " + body.length + " octets instead of the stated " + statedLength);
        }
        bufferedBody = body;
        driver.handle(new Event.AnswerStarted(send.attempt(), answer));
        return Mono.empty();
    }

    /** Returns the decision that started the attempt. */
    Decision.Send decision() {
        return send;
    }

    /**
     * Closes the connection and informs the decision core of an answer that cannot be used.
     *
     * @param reason a description of the problem
     * @return completes immediately
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
     * @return {@code true} for answers to {@code HEAD} requests and with status 204 or 304
     */
    boolean bodyless() {
        HttpResponseStatus status = response.status();
        return exchange.headOnly()
                || status.equals(HttpResponseStatus.NO_CONTENT)
                || status.equals(HttpResponseStatus.NOT_MODIFIED);
    }

    /** Returns the header of the answer, {@code null} before it arrives. */
    HttpClientResponse response() {
        return response;
    }

    /**
     * Returns the body of the answer. The decision core is informed when the body ends.
     *
     * @return the buffers, which the subscriber has to release, followed by an error if their length differs from the
     *     one that the header states
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
                .handle((ByteBuf buffer, SynchronousSink<ByteBuf> sink) ->
                        checkMaximum(buffer, receivedLength.addAndGet(buffer.readableBytes()), sink))
                .concatWith(Mono.defer(() -> checkLength(statedLength, receivedLength.get())))
                .doOnComplete(this::handleCompletion)
                .doOnError(this::handleFailure)
                .doOnCancel(this::drop);
    }

    /**
     * Passes a buffer of the body on, or fails if the body has become larger than allowed.
     *
     * @param buffer the buffer
     * @param length the length of the body so far
     * @param sink receives the buffer or the failure
     */
    private void checkMaximum(ByteBuf buffer, long length, SynchronousSink<ByteBuf> sink) {
        if (length <= registry.maximumAnswerBytes()) {
            sink.next(buffer);
            return;
        }
        buffer.release();
        closeConnection();
        sink.error(new IOException("the answer has more than " + registry.maximumAnswerBytes() + " octets"));
    }

    /**
     * Returns the length of the body that the header of the answer states.
     *
     * @return the number of octets, negative if the header states none
     */
    private long statedLength() {
        String length = response.responseHeaders().get(HttpHeaderNames.CONTENT_LENGTH);
        return length == null ? -1 : Long.parseLong(length);
    }

    /**
     * Fails if the length of a body differs from the one that the header states, or if its end may be that of the
     * connection that this gateway closed.
     *
     * @param statedLength the number of octets that the header states, negative if it states none
     * @param receivedLength the number of octets received
     * @return completes if the numbers agree or none is stated, and fails otherwise
     */
    private Mono<ByteBuf> checkLength(long statedLength, long receivedLength) {
        if (dropped) {
            return Mono.error(new IOException("the answer was dropped"));
        }
        if (statedLength < 0 || statedLength == receivedLength) {
            return Mono.empty();
        }
        return Mono.error(
                new IOException("the answer has " + receivedLength + " octets instead of the stated " + statedLength));
    }

    /** Informs the decision core that the answer is complete. */
    private void handleCompletion() {
        if (ended.compareAndSet(false, true)) {
            driver.handle(new Event.AnswerCompleted(send.attempt()));
        }
        answerConsumed.tryEmitEmpty();
    }

    /**
     * Informs the decision core that the attempt failed, before or after the request was allowed to be dispatched.
     *
     * @param cause the cause of the failure
     */
    private void handleFailure(Throwable cause) {
        registry.removeAttempt(send.attempt());
        answerConsumed.tryEmitEmpty();
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        String reason = cause.getClass().getSimpleName() + ": " + cause.getMessage();
        registry.log().logAttemptFailure(exchange.identifier(), send, proceeding, reason);
        closeConnection();
        if (proceeding) {
            driver.handle(new Event.AttemptBroken(send.attempt(), reason));
        } else {
            driver.handle(new Event.AttemptUnsent(send.attempt(), reason));
        }
    }

    /** Allows the request to be dispatched. */
    void proceed() {
        proceeding = true;
    }

    /**
     * Ends the attempt before its request is dispatched. The decision core is not informed, since it made this
     * decision.
     */
    void withdraw() {
        ended.set(true);
        registry.removeAttempt(send.attempt());
    }

    /**
     * Drops the attempt and closes its connection. An answer that has been read completely needs no connection any
     * more.
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
     * Closes the connection so that it is never used again, unless the attempt's exchange on it has ended and another
     * exchange already uses it.
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
     * Closes a connection unless another exchange owns it. Runs on the event loop of the connection, which also returns
     * it to the pool, so that no other exchange can acquire it in between.
     *
     * @param openConnection the connection as this attempt knows it
     */
    private static void closeIfOwned(Connection openConnection) {
        ChannelOperations<?, ?> owner = ChannelOperations.get(openConnection.channel());
        if (owner == null || owner == openConnection) {
            openConnection.channel().close();
        }
    }
}
