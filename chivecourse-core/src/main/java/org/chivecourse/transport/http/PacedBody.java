package org.chivecourse.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import org.reactivestreams.Subscription;
import reactor.core.CoreSubscriber;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxOperator;
import reactor.core.publisher.Operators;
import reactor.util.context.Context;

/**
 * A body that is forwarded no faster than the connection that it is written to accepts it. The next buffer is requested
 * only when the connection accepts writes, whatever the subscriber requests in advance.
 */
final class PacedBody extends FluxOperator<ByteBuf, ByteBuf> {

    /** The connection that the body is written to. */
    private final Channel destination;

    /** Bounds the memory of the bodies whose connections accept nothing. */
    private final StalledTransfers stalledTransfers;

    /**
     * Creates a body.
     *
     * @param source the buffers
     * @param destination the connection that they are written to
     * @param stalledTransfers bounds the memory of the bodies whose connections accept nothing
     */
    PacedBody(Flux<ByteBuf> source, Channel destination, StalledTransfers stalledTransfers) {
        super(source);
        this.destination = destination;
        this.stalledTransfers = stalledTransfers;
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
            if (destination.eventLoop().inEventLoop() && destination.isWritable()) {
                upstream.request(1);
                return;
            }
            wait = stalledTransfers
                    .count(Writability.await(destination))
                    .subscribe(done -> {}, this::failWait, () -> upstream.request(1));
            if (hasEnded()) {
                wait.dispose();
            }
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
