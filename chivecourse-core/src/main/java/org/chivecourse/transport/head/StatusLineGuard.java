package org.chivecourse.transport.head;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpRequest;
import reactor.netty.NettyPipeline;

/**
 * Closes a connection on which an answer has a status that is none: outside of 100 to 599, not of three digits, or not
 * followed by a space.
 */
public final class StatusLineGuard extends ChannelInboundHandlerAdapter {

    /** The status lines of the answer to the latest request. */
    private final StatusLines lines = new StatusLines();

    /** Whether the connection has been closed. */
    private boolean closed;

    /** Creates the guard of a connection. */
    private StatusLineGuard() {}

    /**
     * Adds a guard to a connection to a server, before and behind the handler that decodes answers.
     *
     * @param channel the connection
     */
    public static void addTo(Channel channel) {
        ChannelPipeline pipeline = channel.pipeline();
        StatusLineGuard guard = new StatusLineGuard();
        pipeline.addBefore(NettyPipeline.HttpCodec, "chivecourse.status-lines", guard);
        pipeline.addAfter(NettyPipeline.HttpCodec, "chivecourse.status-requests", guard.requestHandler());
    }

    /** Returns the handler of requests. */
    private ChannelHandler requestHandler() {
        return new ChannelOutboundHandlerAdapter() {

            @Override
            public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
                if (message instanceof HttpRequest) {
                    lines.restart();
                }
                context.write(message, promise);
            }
        };
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf buffer = (ByteBuf) message;
        if (closed || !check(buffer)) {
            buffer.release();
            if (!closed) {
                closed = true;
                context.fireExceptionCaught(new DecoderException("the answer has no valid status"));
                context.close();
            }
            return;
        }
        context.fireChannelRead(buffer);
    }

    /** Returns whether the status lines in a buffer are valid. */
    private boolean check(ByteBuf buffer) {
        for (int index = buffer.readerIndex(); index < buffer.writerIndex() && !lines.ended(); index++) {
            if (!lines.accept(buffer.getByte(index))) {
                return false;
            }
        }
        return true;
    }
}
