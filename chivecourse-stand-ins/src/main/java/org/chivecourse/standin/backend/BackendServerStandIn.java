package org.chivecourse.standin.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.SplittableRandom;
import org.chivecourse.protocol.http.HeaderNames;
import org.chivecourse.protocol.http.LoadReportField;
import org.chivecourse.state.server.LoadReport;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Simulates a backend server over HTTP.
 *
 * <p>It runs each request in a slot, adds a load report to each answer, and fills the body with the identifier of the
 * request, padded with dots. The query {@code bytes=N} sets the size of the body, and a path that ends with {@code
 * /echo} returns the body of the request.
 */
public final class BackendServerStandIn {

    /** The header field that carries the identifier of a request. */
    public static final String REQUEST_ID_HEADER = "Request-Id";

    /** The header field that carries the address of the server that answered. */
    public static final String ANSWERED_BY_HEADER = "Answered-By";

    /** The header field that marks an answer as a refusal. */
    public static final String REFUSAL_HEADER = "Refused";

    /** The value of the refusal header field, which states that the request was not run. */
    public static final String REFUSAL_VALUE = "before-running";

    /** The status of a refusal. */
    public static final int REFUSAL_STATUS = 503;

    /** The path prefix for setting the fault by {@code POST}, followed by the fault's name. */
    public static final String FAULT_PATH = "/stand-in/fault/";

    /** The path that returns the number of runs of each request. */
    public static final String RUNS_PATH = "/stand-in/runs";

    /** The size of an answer whose request does not set a size. */
    private static final int DEFAULT_ANSWER_BYTES = 200;

    /** The maximum size of the chunks in which the body of an answer is sent. */
    private static final int CHUNK_BYTES = 16 * 1024;

    /** The length of the time slices in each of which the machine is either occupied by other processes or free. */
    private static final long NOISE_SLICE_NANOSECONDS = 8_000_000;

    /** The average number of time slices of which one is occupied by other processes. */
    private static final int NOISE_SLICE_ODDS = 60;

    /** The odd 64-bit constant that makes the seeds of servers select different time slices. */
    private static final long NOISE_SEED_MULTIPLIER = 0x9e3779b97f4a7c15L;

    /** The time for which a server that has just started is slowed down. */
    private static final long WARM_UP_NANOSECONDS = 5_000_000_000L;

    /** The maximum time to wait for the listening socket to close. */
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(10);

    /** The address to listen on; port zero selects a free port. */
    private final InetSocketAddress address;

    /** The capacity and the service times of the server. */
    private final BackendProfile profile;

    /** The slots of the server with their queue. */
    private final SlotQueue slots;

    /** The number of runs of each request, possibly shared with other servers. */
    private final RunCounts runCounts;

    /** The source of service times, guarded by its own monitor. */
    private final SplittableRandom random;

    /** The injected fault. */
    private volatile Fault fault = Fault.NONE;

    /** The value of {@link System#nanoTime()} at which the fault was injected. */
    private volatile long faultStartNanoseconds;

    /** The seed of service times and of the noisy time slices. */
    private final long seed;

    /** The listening server, {@code null} before the start. */
    private DisposableServer server;

    /**
     * Creates a server that is not started.
     *
     * @param address the address to listen on; port zero selects a free port
     * @param profile the capacity and the service times of the server
     * @param runCounts the counter that records each run
     * @param seed the seed of service times and of the noisy time slices
     */
    public BackendServerStandIn(InetSocketAddress address, BackendProfile profile, RunCounts runCounts, long seed) {
        this.address = address;
        this.profile = profile;
        this.runCounts = runCounts;
        slots = new SlotQueue(profile.slots(), profile.queueLimit());
        this.seed = seed;
        random = new SplittableRandom(seed);
    }

    /** Binds the address and starts to serve. */
    public void start() {
        server = HttpServer.create()
                .bindAddress(() -> address)
                .httpRequestDecoder(spec -> spec.allowDuplicateContentLengths(false))
                .route(routes -> routes.get("/health", this::handleHealthCheck)
                        .get("/load", this::handleLoadProbe)
                        .get(RUNS_PATH, (request, response) -> response.sendString(Mono.just(runCounts.format())))
                        .post(FAULT_PATH + "{name}", this::handleFaultRequest)
                        .route(request -> true, this::handleRequest))
                .bindNow();
    }

    /** Stops immediately and closes open connections without completing their answers. */
    public void stop() {
        server.dispose();
        server.onDispose().block(STOP_TIMEOUT);
    }

    /**
     * Returns the address that the server listens on.
     *
     * @return the IP address and the port, separated by a colon
     */
    public String address() {
        return address.getHostString() + ":" + server.port();
    }

    /**
     * Injects a fault in place of the current one.
     *
     * @param newFault the new fault, {@link Fault#NONE} to remove the current one
     */
    public void setFault(Fault newFault) {
        faultStartNanoseconds = System.nanoTime();
        fault = newFault;
    }

    /** Returns the number of runs of each request. */
    public RunCounts runCounts() {
        return runCounts;
    }

    /**
     * Answers a health check with status 200, or with 503 while the server is leaving.
     *
     * @param request the request
     * @param response the answer
     * @return completes when the answer is written
     */
    private Publisher<Void> handleHealthCheck(HttpServerRequest request, HttpServerResponse response) {
        boolean leaving = fault == Fault.DRAIN;
        return response.status(leaving ? 503 : 200).sendString(Mono.just(leaving ? "leaving\n" : "healthy\n"));
    }

    /**
     * Answers a load probe, which waits for a slot like any request and releases it before the load is reported.
     *
     * @param request the request
     * @param response the answer
     * @return completes when the answer is written
     */
    private Publisher<Void> handleLoadProbe(HttpServerRequest request, HttpServerResponse response) {
        return slots.acquire().flatMap(admitted -> {
            if (!admitted) {
                return response.status(REFUSAL_STATUS).send();
            }
            slots.release();
            addLoadReport(response);
            return response.sendString(Mono.just("load\n")).then();
        });
    }

    /**
     * Injects the fault that the path names, in any case and with hyphens for underscores.
     *
     * @param request the request
     * @param response the answer
     * @return completes when the answer is written
     */
    private Publisher<Void> handleFaultRequest(HttpServerRequest request, HttpServerResponse response) {
        String name = String.valueOf(request.param("name"));
        setFault(Fault.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_')));
        return response.status(204).send();
    }

    /**
     * Waits for a slot and runs a request, or answers it at once as the fault requires.
     *
     * @param request the request
     * @param response the answer
     * @return completes when the answer is written
     */
    private Publisher<Void> handleRequest(HttpServerRequest request, HttpServerResponse response) {
        if (fault == Fault.SHED) {
            return refuse(response);
        }
        if (fault == Fault.FAIL_FAST) {
            return response.status(500).sendString(Mono.just("failed\n"));
        }
        return slots.acquire().flatMap(admitted -> admitted ? run(request, response) : refuse(response));
    }

    /**
     * Answers a request with the refusal signal; the request was not run.
     *
     * @param response the answer
     * @return completes when the answer is written
     */
    private Mono<Void> refuse(HttpServerResponse response) {
        addLoadReport(response);
        return response.status(REFUSAL_STATUS)
                .header(REFUSAL_HEADER, REFUSAL_VALUE)
                .sendString(Mono.just("refused\n"))
                .then();
    }

    /**
     * Runs a request that holds a slot, releases the slot and answers.
     *
     * @param request the request
     * @param response the answer
     * @return completes when the answer is written
     */
    private Mono<Void> run(HttpServerRequest request, HttpServerResponse response) {
        String identifier = request.requestHeaders().get(REQUEST_ID_HEADER, "");
        runCounts.recordRun(identifier);
        if (profile.serviceTime().isZero()) {
            slots.release();
            return answer(request, response, identifier);
        }
        return Mono.delay(serviceTime())
                .doFinally(signal -> slots.release())
                .flatMap(tick -> answer(request, response, identifier));
    }

    /** Returns the time to run the next request, drawn at random and multiplied by the current slowdown. */
    private Duration serviceTime() {
        double uniform;
        synchronized (random) {
            uniform = random.nextDouble();
        }
        double exponential = -Math.log(1 - uniform);
        double meanFactor = 1 - profile.exponentialShare() + profile.exponentialShare() * exponential;
        return Duration.ofNanos(
                (long) (profile.serviceTime().toNanos() * meanFactor * slowdownFactor(System.nanoTime())));
    }

    /**
     * Returns the factor by which the fault multiplies service times at a time.
     *
     * @param now the time in nanoseconds
     */
    private double slowdownFactor(long now) {
        if (fault == Fault.STRAGGLE) {
            return profile.slowdownFactor();
        }
        if (fault == Fault.NOISY) {
            long slice = now / NOISE_SLICE_NANOSECONDS;
            boolean noisy = new SplittableRandom(slice ^ seed * NOISE_SEED_MULTIPLIER).nextInt(NOISE_SLICE_ODDS) == 0;
            return noisy ? profile.slowdownFactor() : 1;
        }
        if (fault == Fault.COLD) {
            double warmUpProgress = (double) (now - faultStartNanoseconds) / WARM_UP_NANOSECONDS;
            return warmUpProgress >= 1 ? 1 : 1 + (profile.slowdownFactor() - 1) * (1 - warmUpProgress);
        }
        return 1;
    }

    /**
     * Answers a request that was run.
     *
     * @param request the request
     * @param response the answer
     * @param identifier the identifier of the request
     * @return completes when the answer is written
     */
    private Mono<Void> answer(HttpServerRequest request, HttpServerResponse response, String identifier) {
        addLoadReport(response);
        if (fault == Fault.DRAIN) {
            response.header(HeaderNames.SERVER_LEAVING, "true");
        }
        response.header(REQUEST_ID_HEADER, identifier).header(ANSWERED_BY_HEADER, address());
        int endlessChunkBytes = fault.endlessChunkBytes();
        if (endlessChunkBytes > 0) {
            Flux<ByteBuf> flood = Flux.generate(sink -> sink.next(createChunk(identifier, endlessChunkBytes)));
            return response.send(flood, buffer -> true).then();
        }
        if (request.fullPath().endsWith("/echo")) {
            return response.send(request.receive().retain()).then();
        }
        int size = requestedBytes(request.uri());
        response.header("Content-Length", Integer.toString(size));
        int sentBytes = fault == Fault.CUT ? size / 2 : size;
        Flux<ByteBuf> body = Flux.range(0, (sentBytes + CHUNK_BYTES - 1) / CHUNK_BYTES)
                .map(index -> createChunk(identifier, Math.min(CHUNK_BYTES, sentBytes - index * CHUNK_BYTES)));
        if (fault == Fault.CUT) {
            body = body.concatWith(Mono.error(new IllegalStateException("answer cut by the injected fault")));
        }
        return response.send(body, buffer -> true).then();
    }

    /**
     * Creates a chunk that starts with a request's identifier and is padded with dots.
     *
     * @param identifier the identifier of the request
     * @param size the size in bytes; a longer identifier is truncated
     */
    private static ByteBuf createChunk(String identifier, int size) {
        byte[] bytes = new byte[size];
        Arrays.fill(bytes, (byte) '.');
        byte[] name = identifier.getBytes(StandardCharsets.US_ASCII);
        System.arraycopy(name, 0, bytes, 0, Math.min(name.length, size));
        return Unpooled.wrappedBuffer(bytes);
    }

    /**
     * Returns the size of the body that a request's query sets.
     *
     * @param uri the request target
     * @return the size in bytes, the default if the query sets none
     */
    private static int requestedBytes(String uri) {
        int start = uri.indexOf("bytes=");
        return start < 0 ? DEFAULT_ANSWER_BYTES : Integer.parseInt(uri.substring(start + "bytes=".length()));
    }

    /**
     * Adds the load report to an answer, with nothing in flight if the fault is {@link Fault#LIE}.
     *
     * @param response the answer
     */
    private void addLoadReport(HttpServerResponse response) {
        int inFlight = fault == Fault.LIE ? 0 : slots.inFlight();
        response.header(HeaderNames.LOAD_REPORT, LoadReportField.format(new LoadReport(inFlight, profile.slots())));
    }
}
