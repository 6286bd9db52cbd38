package org.chivecourse.transport.platform;

import io.netty.channel.ChannelOption;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.chivecourse.protocol.platform.PlatformProtocol;
import org.chivecourse.transport.http.BackendConnections;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/** Watches a value of the platform by long polling. The replicas are polled in turn, one poll at a time. */
public final class PlatformWatch {

    /** The time that the platform may wait for a newer value before it answers a poll. */
    private static final Duration POLL_WAIT = Duration.ofSeconds(10);

    /** The time beyond the wait after which a poll counts as failed, and the maximum time to connect. */
    private static final Duration RESPONSE_GRACE = Duration.ofSeconds(5);

    /** The upper bound of the pause after the first failure. It doubles with each further failure in a row. */
    private static final Duration MINIMUM_RETRY_PAUSE = Duration.ofMillis(100);

    /** The upper bound of the pause after any number of failures. */
    private static final Duration MAXIMUM_RETRY_PAUSE = Duration.ofSeconds(2);

    /** The pause between two long polls. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    /** The pause between two polls without a wait. */
    private static final Duration SPARSE_POLL_INTERVAL = Duration.ofSeconds(20);

    /** The status of an answer without a newer value. */
    private static final int NOT_MODIFIED = 304;

    /** The status of an answer with a value. */
    private static final int OK = 200;

    /** The addresses of the replicas. */
    private final List<String> addresses;

    /** The path of the value. */
    private final String path;

    /** Receives the results of polls. */
    private final Observer observer;

    /** The source of random numbers. */
    private final RandomGenerator random;

    /** The connections to the platform. */
    private final ConnectionProvider provider;

    /** The last version that each replica answered with, by its address. */
    private final Map<String, Long> versions = new HashMap<>();

    /** Whether polls wait for a newer value and follow each other without a long pause. */
    private volatile boolean longPolling = true;

    /** Whether the watch is running. */
    private final AtomicBoolean running = new AtomicBoolean();

    /** The index of the replica to poll next. */
    private int nextReplica;

    /** The number of failures since the last answer. */
    private int consecutiveFailures;

    /** The poll in progress, or the pause before the next one; {@code null} before the start. */
    private volatile Disposable currentPoll;

    /**
     * Creates a watch that is not started. It begins with a random replica.
     *
     * @param addresses the addresses of the replicas, at least one
     * @param path the path of the value
     * @param observer receives the results of polls, on the thread that received the answer
     * @param random the source of random numbers
     */
    public PlatformWatch(List<String> addresses, String path, Observer observer, RandomGenerator random) {
        this.addresses = List.copyOf(addresses);
        this.path = path;
        this.observer = observer;
        this.random = random;
        nextReplica = random.nextInt(addresses.size());
        provider =
                ConnectionProvider.builder("platform" + path).maxConnections(2).build();
    }

    /** Starts to poll. */
    public void start() {
        running.set(true);
        poll();
    }

    /** Stops polling, cancels the poll in progress and closes the connections. */
    public void stop() {
        running.set(false);
        Disposable openPoll = currentPoll;
        if (openPoll != null) {
            openPoll.dispose();
        }
        provider.dispose();
    }

    /**
     * Sets whether polls wait for a newer value, or are made at longer intervals without a wait. When long polling is
     * enabled again, the next poll starts immediately.
     *
     * @param enabled whether polls wait for a newer value from now on
     */
    public void setLongPolling(boolean enabled) {
        boolean previouslyEnabled = longPolling;
        longPolling = enabled;
        Disposable openPoll = currentPoll;
        if (enabled && !previouslyEnabled && running.get() && openPoll != null) {
            openPoll.dispose();
            poll();
        }
    }

    /** Requests a newer value from the next replica, unless the watch has been stopped. */
    private void poll() {
        if (!running.get()) {
            return;
        }
        String address = addresses.get(nextReplica);
        nextReplica = (nextReplica + 1) % addresses.size();
        long version = versions.getOrDefault(address, 0L);
        currentPoll = HttpClient.create(provider)
                .remoteAddress(() -> BackendConnections.unresolvedAddress(address))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) RESPONSE_GRACE.toMillis())
                .responseTimeout(POLL_WAIT.plus(RESPONSE_GRACE))
                .get()
                .uri(PlatformProtocol.watchUri(path, version, longPolling ? POLL_WAIT.toMillis() : 0))
                .response(PlatformWatch::read)
                .single()
                .subscribe(answer -> handleAnswer(address, answer), failure -> handleFailure(address, failure));
    }

    /**
     * Reads an answer.
     *
     * @param response the header of the answer
     * @param body the body of the answer
     * @return the answer, or an error if its status is unexpected or its body too large
     */
    private static Mono<Answer> read(HttpClientResponse response, ByteBufFlux body) {
        int status = response.status().code();
        if (status != OK && status != NOT_MODIFIED) {
            return body.then(Mono.error(new IOException("unexpected status " + status)));
        }
        String version = response.responseHeaders().get(PlatformProtocol.VERSION_HEADER, "0");
        return body.asByteArray()
                .reduceWith(ByteArrayOutputStream::new, PlatformWatch::append)
                .map(text -> new Answer(status, Long.parseLong(version), text.toString(StandardCharsets.UTF_8)));
    }

    /**
     * Appends a part of a value, up to the maximum size of a value.
     *
     * @param text the value received so far, which is changed
     * @param part the part
     * @return the same value with the part
     */
    private static ByteArrayOutputStream append(ByteArrayOutputStream text, byte[] part) {
        if (text.size() + part.length > PlatformProtocol.MAXIMUM_VALUE_BYTES) {
            throw new IllegalStateException(
                    "the value is larger than " + PlatformProtocol.MAXIMUM_VALUE_BYTES + " bytes");
        }
        text.writeBytes(part);
        return text;
    }

    /**
     * Passes an answer to the observer and schedules the next poll.
     *
     * @param address the address of the replica
     * @param answer the answer
     */
    private void handleAnswer(String address, Answer answer) {
        consecutiveFailures = 0;
        if (answer.status() == OK) {
            versions.put(address, answer.version());
            observer.onValue(address, answer.text());
        } else {
            observer.onUnchanged(address);
        }
        pollAfter(longPolling ? POLL_INTERVAL : SPARSE_POLL_INTERVAL);
    }

    /**
     * Passes a failure to the observer and schedules the next poll. The pause grows with the number of failures in a
     * row and is random between its half and its whole, so that hosts do not retry at the same time.
     *
     * @param address the address of the replica
     * @param failure the cause of the failure
     */
    private void handleFailure(String address, Throwable failure) {
        observer.onFailure(address, failure.toString());
        long maximumMilliseconds = Math.min(
                MAXIMUM_RETRY_PAUSE.toMillis(), MINIMUM_RETRY_PAUSE.toMillis() << Math.min(consecutiveFailures, 10));
        consecutiveFailures++;
        pollAfter(Duration.ofMillis(maximumMilliseconds / 2 + random.nextLong(maximumMilliseconds / 2 + 1)));
    }

    /**
     * Schedules the next poll, unless the watch has been stopped.
     *
     * @param pause the time until the next poll
     */
    private void pollAfter(Duration pause) {
        if (running.get()) {
            currentPoll = Mono.delay(pause).subscribe(tick -> poll());
        }
    }

    /**
     * The answer of a replica.
     *
     * @param status the status code
     * @param version the version of the value, zero if the answer states none
     * @param text the value, empty if there is no newer one
     */
    private record Answer(int status, long version, String text) {}

    /** Receives the results of polls. */
    public interface Observer {

        /**
         * Receives a value.
         *
         * @param address the address of the replica
         * @param text the value
         */
        void onValue(String address, String text);

        /**
         * Receives the result that a replica has no newer value than the one it answered with before.
         *
         * @param address the address of the replica
         */
        void onUnchanged(String address);

        /**
         * Receives the failure of a poll.
         *
         * @param address the address of the replica
         * @param reason a description of the failure
         */
        void onFailure(String address, String reason);
    }
}
