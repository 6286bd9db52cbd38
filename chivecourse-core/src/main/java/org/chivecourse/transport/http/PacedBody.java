package org.chivecourse.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.time.Duration;
import org.chivecourse.coordination.transfer.LinkShare;
import org.reactivestreams.Subscription;
import reactor.core.CoreSubscriber;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxOperator;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Operators;
import reactor.core.scheduler.Schedulers;
import reactor.util.context.Context;

/**
 * A body that is forwarded no faster than the connection that it is written to accepts it. The next buffer is requested
 * only when the connection accepts writes, and the share of the link that large bodies have is not taken by others,
 * whatever the subscriber requests in advance.
 */
final class PacedBody extends FluxOperator<ByteBuf, ByteBuf> {

    /** The connection that the body is written to. */
    private final Channel destination;

    /** Bounds the memory of the bodies whose connections accept nothing. */
    private final StalledTransfers stalledTransfers;

    /** The share of the link that large bodies have. */
    private final LinkShare link;

    /**
     * Creates a body.
     *
     * @param source the buffers
     * @param destination the connection that they are written to
     * @param stalledTransfers bounds the memory of the bodies whose connections accept nothing
     * @param link the share of the link that large bodies have
     */
    PacedBody(Flux<ByteBuf> source, Channel destination, StalledTransfers stalledTransfers, LinkShare link) {
        super(source);
        this.destination = destination;
        this.stalledTransfers = stalledTransfers;
        this.link = link;
    }

    @Override
    public void subscribe(CoreSubscriber<? super ByteBuf> actual) {
        source.subscribe(new Transfer(actual));
    }

    /** The transfer of the body to one subscriber. */
    private final class Transfer implements CoreSubscriber<ByteBuf>, Subscription {

        /** The subscriber. */
        private final CoreSubscriber<? super ByteBuf> actual;

        /** The subscription to the source. */
        private Subscription upstream;

        /** The number of buffers that the subscriber has requested. Guarded by this instance's monitor. */
        private long demand;

        /** Whether a buffer has been requested or is waited for. Guarded by this instance's monitor. */
        private boolean busy;

        /** Whether the transfer has ended. Guarded by this instance's monitor. */
        private boolean ended;

        /** The number of bytes transferred. */
        private long transferredBytes;

        /** The time for which the next buffer may not be requested, in nanoseconds. */
        private long pauseNanoseconds;

        /** The wait until the connection accepts writes, {@code null} before the first one. */
        private volatile Disposable wait;

        /**
         * Creates a transfer.
         *
         * @param actual the subscriber
         */
        private Transfer(CoreSubscriber<? super ByteBuf> actual) {
            this.actual = actual;
        }

        @Override
        public Context currentContext() {
            return actual.currentContext();
        }

        @Override
        public void onSubscribe(Subscription subscription) {
            upstream = subscription;
            actual.onSubscribe(this);
        }

        @Override
        public void request(long count) {
            synchronized (this) {
                demand = Operators.addCap(demand, count);
            }
            requestNext();
        }

        /** Requests the next buffer, as soon as the connection accepts it. */
        private void requestNext() {
            synchronized (this) {
                if (busy || ended || demand == 0) {
                    return;
                }
                busy = true;
            }
            if (pauseNanoseconds == 0 && destination.eventLoop().inEventLoop() && destination.isWritable()) {
                upstream.request(1);
                return;
            }
            wait = stalledTransfers.count(awaitTurn()).subscribe(done -> {}, this::failWait, () -> upstream.request(1));
            if (hasEnded()) {
                wait.dispose();
            }
        }

        /** Returns what completes when the link and the connection accept the next buffer. */
        private Mono<Void> awaitTurn() {
            Mono<Void> writable = Writability.await(destination);
            if (pauseNanoseconds == 0) {
                return writable;
            }
            return Mono.delay(
                            Duration.ofNanos(pauseNanoseconds), Schedulers.fromExecutorService(destination.eventLoop()))
                    .then(writable);
        }

        /** Counts a buffer against the share of the link, once the body has turned out to be large. */
        private void countTransferred(int bytes) {
            transferredBytes += bytes;
            pauseNanoseconds = transferredBytes > LinkShare.UNCOUNTED_BYTES
                    ? link.pauseNanosecondsAfter(bytes, System.nanoTime())
                    : 0;
        }

        /** Ends the transfer because the connection does not accept writes any more. */
        private void failWait(Throwable cause) {
            if (end()) {
                upstream.cancel();
                actual.onError(cause);
            }
        }

        @Override
        public void onNext(ByteBuf buffer) {
            if (hasEnded()) {
                buffer.release();
                return;
            }
            countTransferred(buffer.readableBytes());
            synchronized (this) {
                demand--;
            }
            actual.onNext(buffer);
            synchronized (this) {
                busy = false;
            }
            requestNext();
        }

        @Override
        public void onError(Throwable cause) {
            if (end()) {
                actual.onError(cause);
            }
        }

        @Override
        public void onComplete() {
            if (end()) {
                actual.onComplete();
            }
        }

        @Override
        public void cancel() {
            if (end()) {
                upstream.cancel();
            }
        }

        /**
         * Ends the transfer and the wait, if there is one.
         *
         * @return {@code false} if it has ended before
         */
        private boolean end() {
            synchronized (this) {
                if (ended) {
                    return false;
                }
                ended = true;
            }
            Disposable open = wait;
            if (open != null) {
                open.dispose();
            }
            return true;
        }

        /** Returns whether the transfer has ended. */
        private synchronized boolean hasEnded() {
            return ended;
        }
    }
}
