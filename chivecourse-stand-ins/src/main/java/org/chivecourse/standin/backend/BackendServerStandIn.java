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
 * A stand-in of a backend server.
 *
 * <p>It runs each request in a slot, states its load on answers, and answers with the identifier of the request. A
 * query of {@code bytes=N} asks for an answer of that size, and a path that ends with {@code /echo} for the request's
 * own body.
 */
public final class BackendServerStandIn {

    /** The header field that identifies a request. */
    public static final String REQUEST_ID_HEADER = "Request-Id";

    /** The header field that identifies the server of an answer. */
    public static final String ANSWERED_BY_HEADER = "Answered-By";

    /** The header field of the refusal signal. */
    public static final String REFUSAL_HEADER = "Refused";

    /** The value of the refusal signal. */
    public static final String REFUSAL_VALUE = "before-running";

    /** The status of the refusal signal. */
    public static final int REFUSAL_STATUS = 503;

    /** The path below which the fault is set, by {@code POST}. */
    public static final String FAULT_PATH = "/stand-in/fault/";

    /** The path of the records of runs. */
    public static final String RUNS_PATH = "/stand-in/runs";

    /** The size of an answer of which nothing else is asked, in bytes. */
    private static final int DEFAULT_ANSWER_BYTES = 200;

    /** The size of the parts of large answers, in bytes. */
    private static final int CHUNK_BYTES = 16 * 1024;

    /** The time for which a neighbour takes the machine or leaves it, in nanoseconds. */
    private static final long NOISE_SLICE_NANOSECONDS = 8_000_000;

    /** One in so many times is taken by a neighbour. */
    private static final int NOISE_SLICE_ODDS = 60;

    /** Spreads the seeds of servers over the times that neighbours take. */
    private static final long NOISE_SEED_MULTIPLIER = 0x9e3779b97f4a7c15L;

    /** The time until a server that has just started is warm, in nanoseconds. */
    private static final long WARM_UP_NANOSECONDS = 5_000_000_000L;

    /** The longest time that a stop takes. */
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(10);

    /** The address to listen on. */
    private final InetSocketAddress address;

    /** How the stand-in works. */
    private final BackendProfile profile;

    /** The slots. */
    private final SlotQueue slots;

    /** The records of runs. */
    private final RunCounts runCounts;

    /** The source of randomness. */
    private final SplittableRandom random;

    /** The fault. */
    private volatile Fault fault = Fault.NONE;

    /** The time at which the fault began, in nanoseconds. */
    private volatile long faultStartNanoseconds;

    /** The seed of service times. */
    private final long seed;

    /** The listening server. */
    private DisposableServer server;

    /**
     * Creates a stand-in that is not started.
     *
     * @param address the address to listen on
     * @param profile how the stand-in works
     * @param runCounts receives the runs
     * @param seed the seed of service times
     */
    public BackendServerStandIn(InetSocketAddress address, BackendProfile profile, RunCounts runCounts, long seed) {
        this.address = address;
        this.profile = profile;
        this.runCounts = runCounts;
        slots = new SlotQueue(profile.slots(), profile.queueLimit());
        this.seed = seed;
        random = new SplittableRandom(seed);
    }

    /**
     * Starts to listen.
     */
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

    /**
     * Stops at once, cutting what is open.
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
     * Sets the fault.
     *
     * @param next the fault from now on
     */
    public void setFault(Fault next) {
        faultStartNanoseconds = System.nanoTime();
        fault = next;
    }

    /**
     * Returns the records of runs.
     *
     * @return the records
     */
    public RunCounts runCounts() {
        return runCounts;
    }

    /**
     * Answers whether the stand-in is well.
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
     * Answers a probe of the load, which takes a slot.
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
     * Sets the fault.
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
     * Runs a request in a slot and answers it.
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
     * Refuses a request before running any of it.
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
     * Runs a request that has a slot.
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

    /**
     * Returns the time to run a request.
     *
     * @return the time
     */
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
     * Returns how many times longer a request takes now.
     *
     * @param now the time in nanoseconds
     * @return the factor
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
     * Answers a request that ran.
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
        if (request.fullPath().endsWith("/echo")) {
            return response.send(request.receive().retain()).then();
        }
        int size = requestedBytes(request.uri());
        response.header("Content-Length", Integer.toString(size));
        int sentBytes = fault == Fault.CUT ? size / 2 : size;
        Flux<ByteBuf> body = Flux.range(0, (sentBytes + CHUNK_BYTES - 1) / CHUNK_BYTES)
                .map(part -> createChunk(identifier, Math.min(CHUNK_BYTES, sentBytes - part * CHUNK_BYTES)));
        if (fault == Fault.CUT) {
            body = body.concatWith(Mono.error(new IllegalStateException("the answer is cut")));
        }
        return response.send(body, buffer -> true).then();
    }

    /**
     * Returns a part of an answer.
     *
     * @param identifier the identifier of the request
     * @param size the size in bytes
     * @return the part
     */
    private static ByteBuf createChunk(String identifier, int size) {
        byte[] bytes = new byte[size];
        Arrays.fill(bytes, (byte) '.');
        byte[] name = identifier.getBytes(StandardCharsets.US_ASCII);
        System.arraycopy(name, 0, bytes, 0, Math.min(name.length, size));
        return Unpooled.wrappedBuffer(bytes);
    }

    /**
     * Returns the size that a request asks for.
     *
     * @param uri the target of the request
     * @return the size in bytes
     */
    private static int requestedBytes(String uri) {
        int start = uri.indexOf("bytes=");
        return start < 0 ? DEFAULT_ANSWER_BYTES : Integer.parseInt(uri.substring(start + "bytes=".length()));
    }

    /**
     * States the load on an answer.
     *
     * @param response the answer
     */
    private void addLoadReport(HttpServerResponse response) {
        int inFlight = fault == Fault.LIE ? 0 : slots.inFlight();
        response.header(HeaderNames.LOAD_REPORT, LoadReportField.format(new LoadReport(inFlight, profile.slots())));
    }
}
