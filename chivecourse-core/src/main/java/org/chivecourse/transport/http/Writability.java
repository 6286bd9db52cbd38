package org.chivecourse.transport.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.nio.channels.ClosedChannelException;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Schedulers;

/** Waits until a connection accepts further writes, or has been closed. */
final class Writability extends ChannelInboundHandlerAdapter {

    /** The name of this handler in the pipeline of a connection. */
    private static final String HANDLER_NAME = "chivecourse.writability";

    /** Completes when the connection accepts writes again, {@code null} if nobody waits. */
    private Sinks.Empty<Void> waiting;

    /** Creates the handler of a connection. */
    private Writability() {}

    /**
     * Waits until a connection accepts writes.
     *
     * @param channel the connection
     * @return completes as soon as the connection accepts writes, immediately if it does so now, or fails if it is
     *     closed
     */
    static Mono<Void> await(Channel channel) {
        EventLoop loop = channel.eventLoop();
        return loop.inEventLoop()
                ? awaitOnLoop(channel)
                : Mono.defer(() -> awaitOnLoop(channel)).subscribeOn(Schedulers.fromExecutor(loop));
    }

    /** Waits on the event loop of the connection, behind the writes that were passed to it before. */
    private static Mono<Void> awaitOnLoop(Channel channel) {
        if (channel.isWritable()) {
            return Mono.empty();
        }
        if (!channel.isActive()) {
            return Mono.error(new ClosedChannelException());
        }
        return of(channel).next();
    }

    /** Returns the handler of a connection, which is added unless it is there. */
    private static Writability of(Channel channel) {
        if (channel.pipeline().get(HANDLER_NAME) instanceof Writability present) {
            return present;
        }
        Writability added = new Writability();
        channel.pipeline().addFirst(HANDLER_NAME, added);
        return added;
    }

    /** Returns what completes when the connection accepts writes again. */
    private Mono<Void> next() {
        if (waiting == null) {
            waiting = Sinks.empty();
        }
        return waiting.asMono();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        Sinks.Empty<Void> ended = waiting;
        if (ended != null && context.channel().isWritable()) {
            waiting = null;
            ended.tryEmitEmpty();
        }
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        Sinks.Empty<Void> ended = waiting;
        if (ended != null) {
            waiting = null;
            ended.tryEmitError(new ClosedChannelException());
        }
        context.fireChannelInactive();
    }
}
