package org.chivecourse.transport.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.ssl.SslContext;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.Supplier;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.configuration.model.RefusalSignal;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.Outcome;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.transfer.LinkShare;
import org.chivecourse.protocol.http.BadRequestException;
import org.chivecourse.protocol.http.RequestFraming;
import org.chivecourse.transport.connection.ConnectionLimit;
import org.chivecourse.transport.driver.CoreDriver;
import org.chivecourse.transport.head.HeadRefusal;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.DisposableServer;
import reactor.netty.http.HttpProtocol;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/** Listens for callers, validates their requests and serves each valid one by an exchange. */
public final class CallerListener {

    /** The retry time sent to callers while the gateway stops. Within it they can connect to another gateway. */
    private static final long STOPPING_RETRY_AFTER_MILLISECONDS = 20;

    /** The largest number of open streams of an HTTP/2 connection. */
    private static final int MAXIMUM_STREAMS = 100;

    /** The address to listen on. */
    private final InetSocketAddress address;

    /** Who sends requests to this listener. */
    private final RequestSource source;

    /** The limits on requests and connections. */
    private final HttpSettings settings;

    /** Supplies the TLS context for callers, or {@code null} for plain connections. */
    private final Supplier<SslContext> tls;

    /** The driver of the decision core. */
    private final CoreDriver driver;

    /** The registry of open exchanges. */
    private final ExchangeRegistry registry;

    /** The event loops that connections run on. */
    private final LoopResources loops;

    /** The limit on the connections of this listener. */
    private final ConnectionLimit connectionLimit;

    /** The listening server, {@code null} before the start. */
    private DisposableServer server;

    /** The open connections of callers. */
    private final CallerConnections connections = new CallerConnections();

    /** Completes when the requests whose bodies are still being read are refused. */
    private final Sinks.Empty<byte[]> readingEnd = Sinks.empty();

    /** Whether further requests are refused. */
    private volatile boolean stopped;

    /** Whether callers are asked to close their connections after their answers. */
    private volatile boolean stopping;

    /** The refusal signals of the configuration in force. */
    private volatile CallerRequest.RefusalSignals refusalSignals = path -> RefusalSignal.NONE;

    /**
     * Creates a listener that is not started.
     *
     * @param address the address to listen on
     * @param source who sends requests to this listener
     * @param settings the limits on requests and connections
     * @param tls supplies the TLS context for callers, or {@code null} for plain connections
     * @param driver the driver of the decision core
     * @param registry the registry of open exchanges
     * @param loops the event loops that connections run on
     * @param connectionLimit the limit on the connections of this listener
     */
    public CallerListener(
            InetSocketAddress address,
            RequestSource source,
            HttpSettings settings,
            Supplier<SslContext> tls,
            CoreDriver driver,
            ExchangeRegistry registry,
            LoopResources loops,
            ConnectionLimit connectionLimit) {
        this.address = address;
        this.source = source;
        this.settings = settings;
        this.tls = tls;
        this.driver = driver;
        this.registry = registry;
        this.loops = loops;
        this.connectionLimit = connectionLimit;
    }

    /** Starts to listen. Fails with an unchecked exception if the address cannot be bound. */
    public void start() {
        HttpServer builder = HttpServer.create()
                .runOn(loops)
                .bindAddress(() -> address)
                .doOnConnection(connection -> connections.add(connection.channel()))
                .idleTimeout(settings.idleTimeout())
                .readTimeout(settings.readTimeout())
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, ConnectionOptions.receiveAllocator())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, ConnectionOptions.watermark())
                .doOnChannelInit((observer, channel, remote) -> guard(channel))
                .httpRequestDecoder(spec -> spec.maxHeaderSize(settings.maximumHeaderBytes())
                        .maxInitialLineLength(settings.maximumHeaderBytes())
                        .allowDuplicateContentLengths(false))
                .handle(this::serve);
        SslContext context = tls.get();
        server = (context == null ? builder : withTls(builder, context)).bindNow();
    }

    /**
     * Applies the limits to a new connection.
     *
     * @param channel the connection
     */
    private void guard(Channel channel) {
        connectionLimit.admit(channel);
        InboundGuards.addToCaller(
                channel,
                settings.maximumHeaderBytes(),
                registry.memory().requestHeads(),
                new HeadRefusal.Answering(
                        registry.dialect(), refusal -> registry.log().logRefusal("", 0, refusal, 0)));
    }

    /**
     * Returns a server that accepts HTTP/1.1 and HTTP/2 over TLS.
     *
     * @param builder the server without TLS
     * @param context the TLS context
     * @return the server with TLS
     */
    private static HttpServer withTls(HttpServer builder, SslContext context) {
        return builder.protocol(HttpProtocol.H2, HttpProtocol.HTTP11)
                .http2Settings(spec -> spec.maxConcurrentStreams(MAXIMUM_STREAMS))
                .secure(spec -> spec.sslContext(context));
    }

    /**
     * Replaces the refusal signals when a configuration is applied.
     *
     * @param signals returns the refusal signal of the service that serves a path
     */
    public void setRefusalSignals(Function<String, RefusalSignal> signals) {
        refusalSignals = signals::apply;
    }

    /** Returns the port that the listener is bound to, after the start. */
    public int port() {
        return server.port();
    }

    /** Starts to ask callers to close their connections after their answers. */
    public void announceStop() {
        stopping = true;
    }

    /**
     * Stops listening, closes the connections without an exchange in progress and refuses further requests on the
     * others. Exchanges in progress continue.
     */
    public void stop() {
        stopped = true;
        server.dispose();
        connections.closeIdle();
    }

    /** Refuses the requests whose bodies are still being read, none of which has been sent to a backend server. */
    public void endReading() {
        readingEnd.tryEmitEmpty();
    }

    /** Returns the number of requests whose answers are not complete, including those that are still being read. */
    public int openRequests() {
        return connections.exchangeCount();
    }

    /**
     * Serves a request and counts its exchange on the connection.
     *
     * @param request the request
     * @param response the answer
     * @return completes when the answer is written
     */
    private Publisher<Void> serve(HttpServerRequest request, HttpServerResponse response) {
        if (stopped) {
            return refuse(response, Reason.STOPPING);
        }
        if (!source.accepts(CallerRequest.callerAddress(request))) {
            return refuse(response, Reason.NOT_A_GATEWAY);
        }
        AtomicReference<Channel> channel = new AtomicReference<>();
        response.withConnection(connection -> channel.set(connection.channel()));
        connections.adjustExchangeCount(channel.get(), 1);
        return Flux.from(checkAndServe(request, response))
                .doFinally(signal -> connections.adjustExchangeCount(channel.get(), -1));
    }

    /**
     * Checks the method and the framing of a request and serves it.
     *
     * @param request the request
     * @param response the answer
     * @return completes when the answer is written
     */
    private Publisher<Void> checkAndServe(HttpServerRequest request, HttpServerResponse response) {
        Method method = supportedMethod(request.method().name());
        if (method == null) {
            return refuse(response, Reason.METHOD_UNSUPPORTED);
        }
        HttpHeaders headers = request.requestHeaders();
        RequestFraming framing = new RequestFraming(
                headers.getAll(HttpHeaderNames.HOST),
                headers.getAll(HttpHeaderNames.TRANSFER_ENCODING),
                headers.getAll(HttpHeaderNames.CONTENT_LENGTH));
        try {
            framing.check();
            return readBodyAndServe(request, response, method, framing.chunked(), framing.length());
        } catch (BadRequestException exception) {
            return refuse(response, Reason.BAD_REQUEST);
        }
    }

    /**
     * Serves a request with valid framing. A body of a known length that is small enough is read first, so that it can
     * be sent again, if there is memory for it; the request is refused if the gateway closes meanwhile. Any other body
     * is streamed.
     *
     * @param request the request
     * @param response the answer
     * @param method the method
     * @param chunked whether the request does not state the length of its body
     * @param size the length of the body in bytes, if it is stated
     * @return completes when the answer is written
     */
    private Mono<Void> readBodyAndServe(
            HttpServerRequest request, HttpServerResponse response, Method method, boolean chunked, long size) {
        if (size > settings.maximumBodyBytes()) {
            return refuse(response, Reason.BODY_TOO_LARGE);
        }
        if (size == 0 && !chunked) {
            return startExchange(request, response, method, new byte[0]);
        }
        BufferBudget buffers = registry.memory().buffers();
        if (chunked || size > settings.maximumReplayableBodyBytes() || !buffers.reserve(size)) {
            return startExchange(request, response, method, null);
        }
        return Mono.firstWithSignal(WholeBody.read(request.receive(), (int) size), readingEnd.asMono())
                .map(body -> startExchange(request, response, method, body))
                .defaultIfEmpty(Mono.defer(() -> refuse(response, Reason.STOPPING)))
                .flatMap(answered -> answered)
                .doFinally(signal -> buffers.release(size));
    }

    /**
     * Parses the header of a request and starts its exchange.
     *
     * @param request the request
     * @param response the answer
     * @param method the method
     * @param body the body if it is kept so that it can be sent again, {@code null} if it is streamed
     * @return completes when the answer is written
     */
    private Mono<Void> startExchange(
            HttpServerRequest request, HttpServerResponse response, Method method, byte[] body) {
        try {
            CallerRequest callerRequest = CallerRequest.read(
                    request, method, refusalSignals, registry.dialect(), body, settings.maximumBodyBytes(), source);
            CallerExchange exchange = new CallerExchange(
                    driver.nextCallIdentifier(), callerRequest, response, driver, registry, () -> stopping);
            return body == null ? serveStreamed(callerRequest, response, exchange) : exchange.serve();
        } catch (BadRequestException exception) {
            return refuse(response, Reason.BAD_REQUEST);
        }
    }

    /**
     * Serves a request with a streamed body, or refuses it at once if the bodies that are under way leave its link no
     * time for it.
     *
     * @param request the request
     * @param response the answer
     * @param exchange the exchange of the request
     * @return completes when the answer is written
     */
    private Mono<Void> serveStreamed(CallerRequest request, HttpServerResponse response, CallerExchange exchange) {
        LinkShare link = registry.memory().link();
        long bytes = request.chunked() ? LinkShare.UNCOUNTED_BYTES : request.statedBodyBytes();
        if (!link.begin(bytes, request.arrival().remainingNanoseconds())) {
            long delay = TimeUnit.NANOSECONDS.toMillis(link.backlogNanoseconds());
            registry.metrics().recordRefusal(Outcome.NOT_RUN);
            return refuse(response, Reason.LINK_BUSY, Math.max(1, delay));
        }
        return exchange.serve().doFinally(signal -> link.end(bytes));
    }

    /**
     * Refuses a request before it becomes a call, and closes the connection after the answer.
     *
     * @param response the answer
     * @param reason the reason for the refusal
     * @return completes when the answer is written
     */
    private Mono<Void> refuse(HttpServerResponse response, Reason reason) {
        return refuse(response, reason, reason == Reason.STOPPING ? STOPPING_RETRY_AFTER_MILLISECONDS : 0);
    }

    /**
     * Refuses a request before it becomes a call, and closes the connection after the answer.
     *
     * @param response the answer
     * @param reason the reason for the refusal
     * @param retryAfterMilliseconds the time after which the caller may return, zero if it is not stated
     * @return completes when the answer is written
     */
    private Mono<Void> refuse(HttpServerResponse response, Reason reason, long retryAfterMilliseconds) {
        response.keepAlive(false);
        return CallerExchange.writeRefusal(
                response,
                new Decision.Refusal(Outcome.NOT_RUN, reason, retryAfterMilliseconds),
                false,
                registry.dialect());
    }

    /**
     * Returns the method with a given name.
     *
     * @param name the name of the method
     * @return the method, {@code null} if it is not supported
     */
    private static Method supportedMethod(String name) {
        for (Method method : Method.values()) {
            if (method.name().equals(name)) {
                return method;
            }
        }
        return null;
    }
}
