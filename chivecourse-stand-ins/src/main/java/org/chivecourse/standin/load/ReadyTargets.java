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

/** The targets that a balancer would send to: those whose readiness endpoint says so. */
final class ReadyTargets {

    /** The time between two looks at a readiness endpoint. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    /** The targets. */
    private final List<String> targets;

    /** The readiness endpoints. */
    private final List<String> readinessEndpoints;

    /** The targets that are ready. */
    private volatile List<String> readyTargets;

    /** The next place in turn. */
    private final AtomicInteger nextIndex = new AtomicInteger();

    /** The looks at readiness endpoints. */
    private Disposable polling;

    /**
     * Creates targets that are all ready.
     *
     * @param targets the targets
     * @param readinessEndpoints the readiness endpoints in the same order, empty for targets that are always ready
     */
    ReadyTargets(List<String> targets, List<String> readinessEndpoints) {
        this.targets = targets;
        this.readinessEndpoints = readinessEndpoints;
        readyTargets = targets;
    }

    /**
     * Starts to look at the readiness endpoints.
     */
    void start() {
        if (!readinessEndpoints.isEmpty()) {
            pollEndpoints().block();
            polling = Flux.interval(POLL_INTERVAL)
                    .onBackpressureDrop()
                    .concatMap(tick -> pollEndpoints())
                    .subscribe();
        }
    }

    /**
     * Stops to look.
     */
    void stop() {
        if (polling != null) {
            polling.dispose();
        }
    }

    /**
     * Looks at every readiness endpoint once.
     *
     * @return completes after the look
     */
    private Mono<Void> pollEndpoints() {
        return Flux.range(0, targets.size())
                .flatMapSequential(
                        index -> isReady(readinessEndpoints.get(index)).map(yes -> yes ? targets.get(index) : ""))
                .filter(target -> !target.isEmpty())
                .collectList()
                .doOnNext(list -> readyTargets = new ArrayList<>(list))
                .then();
    }

    /**
     * Looks at a readiness endpoint.
     *
     * @param endpoint the address
     * @return whether the target is ready
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
     * @return the address, or {@code null} if none is ready
     */
    String next() {
        List<String> currentTargets = readyTargets;
        return currentTargets.isEmpty()
                ? null
                : currentTargets.get(Math.floorMod(nextIndex.getAndIncrement(), currentTargets.size()));
    }
}
