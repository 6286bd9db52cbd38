package org.chivecourse.standin.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.chivecourse.transport.http.BackendConnections;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Selects targets in turn from those whose readiness endpoint reports ready, as an external balancer would. */
final class ReadyTargets {

    /** The time between two polls of the readiness endpoints. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    /** All targets. */
    private final List<String> targets;

    /** The readiness endpoints in the order of the targets; if empty, all targets count as ready. */
    private final List<String> readinessEndpoints;

    /** The targets that were ready at the last poll. */
    private volatile List<String> readyTargets;

    /** The number of targets selected so far. */
    private final AtomicInteger nextIndex = new AtomicInteger();

    /** The periodic polling, {@code null} if there are no endpoints or before the start. */
    private Disposable polling;

    /**
     * Creates a selection in which all targets count as ready until the first poll.
     *
     * @param targets all targets
     * @param readinessEndpoints the readiness endpoints in the same order, empty if all targets are always ready
     */
    ReadyTargets(List<String> targets, List<String> readinessEndpoints) {
        this.targets = targets;
        this.readinessEndpoints = readinessEndpoints;
        readyTargets = targets;
    }

    /** Polls the readiness endpoints once and starts to poll them periodically. */
    void start() {
        if (!readinessEndpoints.isEmpty()) {
            pollEndpoints().block();
            polling = Flux.interval(POLL_INTERVAL)
                    .onBackpressureDrop()
                    .concatMap(tick -> pollEndpoints())
                    .subscribe();
        }
    }

    /** Stops polling. */
    void stop() {
        if (polling != null) {
            polling.dispose();
        }
    }

    /**
     * Polls every readiness endpoint once and replaces the ready targets.
     *
     * @return completes when every endpoint has answered or timed out
     */
    private Mono<Void> pollEndpoints() {
        return Flux.range(0, targets.size())
                .flatMapSequential(
                        index -> isReady(readinessEndpoints.get(index)).map(ready -> ready ? targets.get(index) : ""))
                .filter(target -> !target.isEmpty())
                .collectList()
                .doOnNext(polledTargets -> readyTargets = new ArrayList<>(polledTargets))
                .then();
    }

    /**
     * Polls a readiness endpoint.
     *
     * @param endpoint the address
     * @return emits whether the endpoint reports ready, {@code false} on an error or after 500 milliseconds
     */
    private static Mono<Boolean> isReady(String endpoint) {
        return HttpClient.create()
                .remoteAddress(() -> BackendConnections.unresolvedAddress(endpoint))
                .responseTimeout(Duration.ofMillis(500))
                .get()
                .uri("/ready")
                .response()
                .map(response -> response.status().code() == 200)
                .timeout(Duration.ofMillis(500), Mono.just(false))
                .onErrorReturn(false);
    }

    /**
     * Returns the next ready target in turn.
     *
     * @return the address, or {@code null} if no target is ready
     */
    String next() {
        List<String> currentTargets = readyTargets;
        return currentTargets.isEmpty()
                ? null
                : currentTargets.get(Math.floorMod(nextIndex.getAndIncrement(), currentTargets.size()));
    }
}
