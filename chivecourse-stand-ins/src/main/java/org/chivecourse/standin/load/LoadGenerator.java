package org.chivecourse.standin.load;

import io.netty.buffer.Unpooled;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpMethod;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.chivecourse.protocol.http.HeaderNames;
import org.chivecourse.standin.backend.BackendServerStandIn;
import org.chivecourse.transport.http.BackendConnections;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Generates load at a planned rate that does not depend on answers (an open workload), so that a slow answer delays no
 * later request, and verifies that each answer belongs to its request.
 */
public final class LoadGenerator {

    /** Logs the requests that were cut. */
    private static final Logger LOGGER = Logger.getLogger(LoadGenerator.class);

    /** The maximum number of connections to a target; further requests wait without a limit. */
    private static final int MAXIMUM_CONNECTIONS_PER_TARGET = 1000;

    /** The lowest status that counts as a server error. */
    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    /** The load to generate. */
    private final LoadPlan plan;

    /** The connection pools of all targets. */
    private final ConnectionProvider connectionProvider = ConnectionProvider.builder("load")
            .maxConnections(MAXIMUM_CONNECTIONS_PER_TARGET)
            .pendingAcquireMaxCount(-1)
            .build();

    /** The clients by target address. */
    private final Map<String, HttpClient> clients = new ConcurrentHashMap<>();

    /** The results so far. */
    private final LoadTestReport report = new LoadTestReport();

    /**
     * Creates a generator that runs once.
     *
     * @param plan the load to generate
     */
    public LoadGenerator(LoadPlan plan) {
        this.plan = plan;
    }

    /**
     * Runs the plan and waits until every request has ended. Arrivals form a Poisson process.
     *
     * @return the results
     */
    public LoadTestReport run() {
        ReadyTargets targets = new ReadyTargets(plan.targets(), plan.readinessEndpoints());
        targets.start();
        SplittableRandom random = new SplittableRandom(plan.seed());
        Phaser openRequests = new Phaser(1);
        long start = System.nanoTime();
        long end = start + plan.duration().toNanos();
        double plannedStart = start;
        int requestNumber = 0;
        long warmUpEnd = start + plan.warmUp().toNanos();
        boolean warmingUp = true;
        while (plannedStart < end) {
            waitUntil((long) plannedStart);
            if (warmingUp && plannedStart >= warmUpEnd) {
                report.resetLatencies();
                warmingUp = false;
            }
            send(
                    targets.next(),
                    requestNumber++,
                    random.nextInt(100) < plan.writePercent(),
                    (long) plannedStart,
                    openRequests);
            plannedStart += -Math.log(1 - random.nextDouble()) * TimeUnit.SECONDS.toNanos(1) / plan.requestsPerSecond();
        }
        openRequests.arriveAndAwaitAdvance();
        targets.stop();
        connectionProvider.disposeLater().block();
        return report;
    }

    /**
     * Parks the current thread until a time.
     *
     * @param time the time in nanoseconds, as of {@link System#nanoTime()}
     */
    private static void waitUntil(long time) {
        long remaining = time - System.nanoTime();
        while (remaining > 0) {
            LockSupport.parkNanos(remaining);
            remaining = time - System.nanoTime();
        }
    }

    /**
     * Sends a request and records its result when it ends.
     *
     * @param target the address of the target, {@code null} if none is ready
     * @param number the number of the request
     * @param write whether the request is not idempotent
     * @param plannedStart the planned start in nanoseconds, from which the latency is measured
     * @param openRequests tracks the requests that have not ended
     */
    private void send(String target, int number, boolean write, long plannedStart, Phaser openRequests) {
        String identifier = plan.identifierPrefix() + "-" + number;
        if (target == null) {
            report.recordResult("", identifier, write, Result.NOT_CONNECTED, 0);
            return;
        }
        openRequests.register();
        String path = plan.paths().get(number % plan.paths().size()) + (write ? "/orders" : "/lookups/" + number);
        exchange(clients.computeIfAbsent(target, this::createClient), path, write, identifier)
                .timeout(plan.timeout())
                .onErrorResume(failure -> Mono.just(resultOf(identifier, failure)))
                .subscribe(result -> {
                    long microseconds = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - plannedStart);
                    report.recordResult(target, identifier, write, result, microseconds);
                    openRequests.arriveAndDeregister();
                });
    }

    /**
     * Creates a client that does not retry failed requests on its own.
     *
     * @param target the address of the target
     */
    private HttpClient createClient(String target) {
        return HttpClient.create(connectionProvider)
                .remoteAddress(() -> BackendConnections.unresolvedAddress(target))
                .disableRetry(true);
    }

    /**
     * Sends a request and verifies its answer.
     *
     * @param client the client of the target
     * @param path the path
     * @param write whether the request is not idempotent
     * @param identifier the identifier of the request
     * @return emits how the request ended
     */
    private static Mono<Result> exchange(HttpClient client, String path, boolean write, String identifier) {
        byte[] body = write ? identifier.getBytes(StandardCharsets.US_ASCII) : new byte[0];
        return client.headers(headers -> headers.set(BackendServerStandIn.REQUEST_ID_HEADER, identifier))
                .request(write ? HttpMethod.POST : HttpMethod.GET)
                .uri(path)
                .send((request, outbound) -> write ? outbound.sendObject(Unpooled.wrappedBuffer(body)) : outbound)
                .responseSingle((response, answer) -> checkAnswer(response, answer, identifier));
    }

    /**
     * Classifies an answer. A body is accepted only if it starts with the request's identifier.
     *
     * @param response the head of the answer
     * @param answer the body of the answer
     * @param identifier the identifier of the request
     * @return emits how the request ended
     */
    private static Mono<Result> checkAnswer(HttpClientResponse response, ByteBufMono answer, String identifier) {
        return answer.asString().defaultIfEmpty("").map(text -> {
            String outcome = response.responseHeaders().get(HeaderNames.OUTCOME);
            if (outcome != null) {
                return outcome.equals("not-run") ? Result.NOT_RUN : Result.UNKNOWN;
            }
            if (response.status().code() >= FIRST_SERVER_ERROR_STATUS) {
                return Result.SERVER_ERROR;
            }
            return text.startsWith(identifier + ".") ? Result.ANSWERED : Result.WRONG;
        });
    }

    /**
     * Classifies a request that failed without a complete answer.
     *
     * @param identifier the identifier of the request
     * @param failure the error
     */
    private static Result resultOf(String identifier, Throwable failure) {
        if (failure instanceof ConnectException || failure instanceof ConnectTimeoutException) {
            return Result.NOT_CONNECTED;
        }
        LOGGER.warnf("request %s ended without a complete answer: %s", identifier, failure);
        return Result.CUT;
    }
}
