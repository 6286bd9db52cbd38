package org.chivecourse.transport.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.ssl.SslContext;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.Supplier;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.configuration.model.RefusalSignal;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.Outcome;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.protocol.http.BadRequestException;
import org.chivecourse.protocol.http.RequestFraming;
import org.chivecourse.transport.driver.CoreDriver;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.HttpProtocol;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/** Listens for callers and leads each request through an exchange. */
public final class CallerListener {

    /** The time after which a caller finds another gateway, in milliseconds. */
    private static final long STOPPING_RETRY_AFTER_MILLISECONDS = 20;

    /** The address to listen on. */
    private final InetSocketAddress address;

    /** The bounds on connections. */
    private final HttpSettings settings;

    /** Returns the TLS context for callers, or {@code null} for plain connections. */
    private final Supplier<SslContext> tls;

    /** The driver of the decision core. */
    private final CoreDriver driver;

    /** The register of exchanges. */
    private final ExchangeRegistry registry;

    /** The threads that connections run on. */
    private final LoopResources loops;

    /** The listening server, {@code null} before the start. */
    private DisposableServer server;

    /** The open connections. */
    private final CallerConnections connections = new CallerConnections();

    /** Whether no further request is taken. */
    private volatile boolean stopped;

    /** Whether callers are asked to close their connections. */
    private volatile boolean stopping;

    /** The refusal signals of the configuration in force. */
    private volatile CallerRequest.RefusalSignals refusalSignals = path -> RefusalSignal.NONE;

    /**
     * Creates a listener that is not started.
     *
     * @param address the address to listen on
     * @param settings the bounds on connections
     * @param tls returns the TLS context for callers, or {@code null} for plain connections
     * @param driver the driver of the decision core
     * @param registry the register of exchanges
     * @param loops the threads that connections run on
     */
    public CallerListener(
            InetSocketAddress address,
            HttpSettings settings,
            Supplier<SslContext> tls,
            CoreDriver driver,
            ExchangeRegistry registry,
            LoopResources loops) {
        this.address = address;
        this.settings = settings;
        this.tls = tls;
        this.driver = driver;
        this.registry = registry;
        this.loops = loops;
    }

    /**
     * Starts to listen.
     */
    public void start() {
        HttpServer builder = HttpServer.create()
                .runOn(loops)
                .bindAddress(() -> address)
                .doOnConnection(connection -> connections.add(connection.channel()))
                .idleTimeout(settings.idleTimeout())
                .readTimeout(settings.readTimeout())
                .httpRequestDecoder(spec -> spec.maxHeaderSize(settings.maximumHeaderBytes())
                        .maxInitialLineLength(settings.maximumHeaderBytes())
                        .allowDuplicateContentLengths(false))
                .handle(this::serve);
        SslContext context = tls.get();
        server = (context == null ? builder : withTls(builder, context)).bindNow();
    }

    /**
     * Returns a server that takes HTTP/1.1 and HTTP/2 over TLS.
     *
     * @param builder the plain server
     * @param context the TLS context
     * @return the server
     */
    private static HttpServer withTls(HttpServer builder, SslContext context) {
        return builder.protocol(HttpProtocol.H2, HttpProtocol.HTTP11).secure(spec -> spec.sslContext(context));
    }

    /**
     * Puts the refusal signals of a configuration in force.
     *
     * @param signals returns the refusal signal of the service that a path leads to
     */
    public void setRefusalSignals(Function<String, RefusalSignal> signals) {
        refusalSignals = signals::apply;
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
     * Asks callers from now on to close their connections after their answers.
     */
    public void announceStop() {
        stopping = true;
    }

    /**
     * Stops listening, closes the connections without an exchange and refuses further requests on the others; the
     * exchanges under way go on.
     */
    public void stop() {
        stopped = true;
        server.dispose();
        connections.closeIdle();
    }

    /**
     * Serves a request.
     *
     * @param request the request
     * @param response the answer
     * @return completes when the caller has its answer
     */
    private Publisher<Void> serve(HttpServerRequest request, HttpServerResponse response) {
        if (stopped) {
            return refuse(response, Reason.STOPPING);
        }
        AtomicReference<Channel> channel = new AtomicReference<>();
        response.withConnection(connection -> channel.set(connection.channel()));
        connections.adjustExchangeCount(channel.get(), 1);
        return Flux.from(checkAndServe(request, response))
                .doFinally(signal -> connections.adjustExchangeCount(channel.get(), -1));
    }

    /**
     * Checks the framing of a request and leads it through an exchange.
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
     * Serves a request whose framing is clear.
     *
     * @param request the request
     * @param response the answer
     * @param method the method
     * @param chunked whether the body states no length
     * @param size the length of the body in bytes
     * @return completes when the caller has its answer
     */
    private Mono<Void> readBodyAndServe(
            HttpServerRequest request, HttpServerResponse response, Method method, boolean chunked, long size) {
        if (size > settings.maximumBodyBytes()) {
            return refuse(response, Reason.BODY_TOO_LARGE);
        }
        if (chunked || size > settings.maximumReplayableBodyBytes()) {
            return startExchange(request, response, method, null);
        }
        if (size == 0) {
            return startExchange(request, response, method, new byte[0]);
        }
        return request.receive()
                .aggregate()
                .asByteArray()
                .flatMap(body -> startExchange(request, response, method, body));
    }

    /**
     * Leads a request through an exchange.
     *
     * @param request the request
     * @param response the answer
     * @param method the method
     * @param body the body if it can be sent again, {@code null} if it is streamed
     * @return completes when the caller has its answer
     */
    private Mono<Void> startExchange(
            HttpServerRequest request, HttpServerResponse response, Method method, byte[] body) {
        try {
            CallerRequest callerRequest = CallerRequest.read(
                    request, method, refusalSignals, registry.dialect(), body, settings.maximumBodyBytes());
            return new CallerExchange(
                            driver.nextCallIdentifier(), callerRequest, response, driver, registry, () -> stopping)
                    .serve();
        } catch (BadRequestException exception) {
            return refuse(response, Reason.BAD_REQUEST);
        }
    }

    /**
     * Refuses a request that does not become a call.
     *
     * @param response the answer
     * @param reason why
     * @return completes when the caller has its answer
     */
    private Mono<Void> refuse(HttpServerResponse response, Reason reason) {
        response.keepAlive(false);
        return CallerExchange.writeRefusal(
                response,
                new Decision.Refusal(
                        Outcome.NOT_RUN, reason, reason == Reason.STOPPING ? STOPPING_RETRY_AFTER_MILLISECONDS : 0),
                false,
                registry.dialect());
    }

    /**
     * Returns a method.
     *
     * @param name the name of the method
     * @return the method, or {@code null} if it is not supported
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
