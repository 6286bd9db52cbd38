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

/** Watches one value of the platform by long polls of its replicas in turn, one poll at a time. */
public final class PlatformWatch {

    /** The time that a poll waits for a newer value. */
    private static final Duration POLL_WAIT = Duration.ofSeconds(10);

    /** The time that an answer may take beyond the wait. */
    private static final Duration RESPONSE_GRACE = Duration.ofSeconds(5);

    /** The pause after the first failure. */
    private static final Duration MINIMUM_RETRY_PAUSE = Duration.ofMillis(100);

    /** The longest pause after failures. */
    private static final Duration MAXIMUM_RETRY_PAUSE = Duration.ofSeconds(2);

    /** The shortest time between two polls. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    /** The time between two polls that do not wait. */
    private static final Duration SPARSE_POLL_INTERVAL = Duration.ofSeconds(20);

    /** The status of an answer that there is nothing newer. */
    private static final int NOT_MODIFIED = 304;

    /** The status of an answer with a value. */
    private static final int OK = 200;

    /** The addresses of the replicas. */
    private final List<String> addresses;

    /** The path of the value. */
    private final String path;

    /** Receives what the watch finds. */
    private final Observer observer;

    /** The source of randomness. */
    private final RandomGenerator random;

    /** The connections to the platform. */
    private final ConnectionProvider provider;

    /** The last version that each replica answered with, by address. */
    private final Map<String, Long> versions = new HashMap<>();

    /** Whether polls follow each other and wait for a newer value. */
    private volatile boolean longPolling = true;

    /** Whether the watch runs. */
    private final AtomicBoolean running = new AtomicBoolean();

    /** The place of the replica to ask next. */
    private int nextReplica;

    /** The number of failures in a row. */
    private int consecutiveFailures;

    /** The poll under way. */
    private volatile Disposable currentPoll;

    /**
     * Creates a watch that is not started.
     *
     * @param addresses the addresses of the replicas, at least one
     * @param path the path of the value
     * @param observer receives what the watch finds, on the watch's thread
     * @param random the source of randomness
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

    /**
     * Starts to watch.
     */
    public void start() {
        running.set(true);
        poll();
    }

    /**
     * Stops to watch.
     */
    public void stop() {
        running.set(false);
        Disposable openPoll = currentPoll;
        if (openPoll != null) {
            openPoll.dispose();
        }
        provider.dispose();
    }

    /**
     * Sets whether polls follow each other and wait, or come now and then and do not.
     *
     * @param enabled whether polls follow each other from now on
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

    /**
     * Asks the next replica for a newer value.
     */
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
     * @return the answer, or a failure if it is too large or neither a value nor the absence of a newer one
     */
    private static Mono<Answer> read(HttpClientResponse response, ByteBufFlux body) {
        int status = response.status().code();
        if (status != OK && status != NOT_MODIFIED) {
            return body.then(Mono.error(new IOException("status " + status)));
        }
        String version = response.responseHeaders().get(PlatformProtocol.VERSION_HEADER, "0");
        return body.asByteArray()
                .reduceWith(ByteArrayOutputStream::new, PlatformWatch::append)
                .map(text -> new Answer(status, Long.parseLong(version), text.toString(StandardCharsets.UTF_8)));
    }

    /**
     * Appends a part of a value.
     *
     * @param text the value so far
     * @param part the part
     * @return the longer value
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
     * Passes an answer on and asks again.
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
     * Reports a failure and asks again after a pause that grows with the failures and is spread at random.
     *
     * @param address the address of the replica
     * @param failure what happened
     */
    private void handleFailure(String address, Throwable failure) {
        observer.onFailure(address, failure.toString());
        long maximumMilliseconds = Math.min(
                MAXIMUM_RETRY_PAUSE.toMillis(), MINIMUM_RETRY_PAUSE.toMillis() << Math.min(consecutiveFailures, 10));
        consecutiveFailures++;
        pollAfter(Duration.ofMillis(maximumMilliseconds / 2 + random.nextLong(maximumMilliseconds / 2 + 1)));
    }

    /**
     * Asks again after a pause.
     *
     * @param pause the pause
     */
    private void pollAfter(Duration pause) {
        if (running.get()) {
            currentPoll = Mono.delay(pause).subscribe(tick -> poll());
        }
    }

    /**
     * An answer of a replica.
     *
     * @param status the status code
     * @param version the version of the value
     * @param text the value
     */
    private record Answer(int status, long version, String text) {}

    /** Receives what a watch finds. */
    public interface Observer {

        /**
         * Receives a value.
         *
         * @param address the address of the replica
         * @param text the value
         */
        void onValue(String address, String text);

        /**
         * Receives that a replica has nothing newer than it answered before.
         *
         * @param address the address of the replica
         */
        void onUnchanged(String address);

        /**
         * Receives a failure to read.
         *
         * @param address the address of the replica
         * @param reason what happened
         */
        void onFailure(String address, String reason);
    }
}
