package org.chivecourse.transport.head;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameStream;
import io.netty.handler.codec.http2.Http2FrameStreamEvent;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2Stream;
import io.netty.util.ReferenceCountUtil;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.Outcome;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.transport.connection.ConnectionActivity;
import reactor.netty.NettyPipeline;

/**
 * Reserves the memory of the streams of an HTTP/2 connection and of their heads until they close. Resets a stream for
 * which there is none with {@code REFUSED_STREAM}, by which RFC 9113 states that its request has not run. Runs on the
 * connection's event loop.
 */
final class StreamMemoryGuard extends ChannelInboundHandlerAdapter {

    /** What a stream costs beside its head: its handlers, its exchange, and its part of the connection's tables. */
    private static final long BYTES_PER_STREAM = 8 * 1024;

    /** The limits. */
    private final HeadLimits limits;

    /** Records each refusal. */
    private final Consumer<Decision.Refusal> log;

    /** Is told of the exchanges on the connection. */
    private final ConnectionActivity activity;

    /** The memory of the open streams. */
    private final Map<Http2FrameStream, Long> memoryByStream = new HashMap<>();

    /** The sum of the memory of the open streams. */
    private long heldBytes;

    /** Creates the guard of a connection. */
    private StreamMemoryGuard(HeadLimits limits, Consumer<Decision.Refusal> log, ConnectionActivity activity) {
        this.limits = limits;
        this.log = log;
        this.activity = activity;
    }

    /**
     * Adds a guard to a connection, between the handler of frames and that of streams.
     *
     * @param channel the connection
     * @param limits the limits
     * @param log records each refusal
     * @throws java.util.NoSuchElementException if the connection has no such handler
     */
    static void addTo(Channel channel, HeadLimits limits, Consumer<Decision.Refusal> log) {
        channel.pipeline()
                .addBefore(
                        NettyPipeline.H2MultiplexHandler,
                        "chivecourse.stream-memory",
                        new StreamMemoryGuard(limits, log, ConnectionActivity.of(channel)));
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (!(event instanceof Http2FrameStreamEvent change) || change.type() != Http2FrameStreamEvent.Type.State) {
            context.fireUserEventTriggered(event);
            return;
        }
        Http2FrameStream stream = change.stream();
        boolean closing = stream.state() == Http2Stream.State.CLOSED;
        if (!closing && !memoryByStream.containsKey(stream) && !reserve(stream, BYTES_PER_STREAM)) {
            return;
        }
        context.fireUserEventTriggered(event);
        if (closing) {
            // What the stream held is let go by tasks that are queued already.
            context.executor().execute(() -> release(stream));
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof Http2HeadersFrame head)) {
            context.fireChannelRead(message);
            return;
        }
        long before = memoryByStream.getOrDefault(head.stream(), 0L);
        if (before > 0 && reserve(head.stream(), HeadCost.of(head.headers()).memory())) {
            context.fireChannelRead(message);
            return;
        }
        ReferenceCountUtil.release(message);
        refuse(context, head.stream(), before > BYTES_PER_STREAM);
    }

    /**
     * Resets a stream. Only one whose request has not been passed on is said not to have run.
     *
     * @param passedOn whether its head has been passed on, so that these are trailers
     */
    private void refuse(ChannelHandlerContext context, Http2FrameStream stream, boolean passedOn) {
        limits.recordRefusal();
        log.accept(new Decision.Refusal(passedOn ? Outcome.UNKNOWN : Outcome.NOT_RUN, Reason.HEADS_FULL, 0));
        Http2Error error = passedOn ? Http2Error.ENHANCE_YOUR_CALM : Http2Error.REFUSED_STREAM;
        context.writeAndFlush(new DefaultHttp2ResetFrame(error).stream(stream));
    }

    /** Reserves memory for a stream, and returns whether there was that much left. */
    private boolean reserve(Http2FrameStream stream, long bytes) {
        if (!limits.unfinished().reserve(heldBytes, bytes)) {
            return false;
        }
        if (memoryByStream.isEmpty()) {
            activity.begin();
        }
        heldBytes += bytes;
        memoryByStream.merge(stream, bytes, Long::sum);
        return true;
    }

    /** Returns the memory of a stream that has closed. */
    private void release(Http2FrameStream stream) {
        Long bytes = memoryByStream.remove(stream);
        if (bytes == null) {
            return;
        }
        heldBytes -= bytes;
        limits.budget().release(bytes);
        if (memoryByStream.isEmpty()) {
            activity.end();
        }
    }

    /** Returns the memory of all streams of a connection that has ended. */
    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        limits.budget().release(heldBytes);
        heldBytes = 0;
        memoryByStream.clear();
    }
}
