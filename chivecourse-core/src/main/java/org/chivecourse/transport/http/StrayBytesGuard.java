package org.chivecourse.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import reactor.netty.NettyPipeline;
import reactor.netty.channel.ChannelOperations;

/**
 * Closes a connection to a backend server when octets arrive on it that belong to no request: while none waits for an
 * answer, or behind an answer. The HTTP library would discard them, or put them before the answer to the next request.
 */
final class StrayBytesGuard extends ChannelInboundHandlerAdapter {

    /** The exchange that waited for the octets that are being read, {@code null} if none are. */
    private ChannelOperations<?, ?> reader;

    /** Creates the guard of a connection. */
    private StrayBytesGuard() {}

    /**
     * Adds a guard to a connection, before and behind the handler that decodes answers.
     *
     * @param channel the connection
     */
    static void addTo(Channel channel) {
        StrayBytesGuard guard = new StrayBytesGuard();
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addBefore(NettyPipeline.HttpCodec, "chivecourse.stray-bytes", guard);
        pipeline.addAfter(NettyPipeline.HttpCodec, "chivecourse.stray-answers", guard.answerHandler());
    }

    /** Returns the handler of decoded answers. */
    private ChannelHandler answerHandler() {
        return new ChannelInboundHandlerAdapter() {

            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (message instanceof HttpResponse && endedWhileReading(context)) {
                    ReferenceCountUtil.release(message);
                    context.close();
                } else {
                    context.fireChannelRead(message);
                }
            }
        };
    }

    /**
     * Passes received octets on to the decoder, and closes the connection if no exchange waits for them, or if the
     * exchange ends and octets are left.
     */
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        reader = ChannelOperations.get(context.channel());
        ByteBuf octets = (ByteBuf) message;
        if (reader == null) {
            octets.release();
            context.close();
            return;
        }
        ByteBuf view = octets.duplicate().retain();
        context.fireChannelRead(view);
        if (view.isReadable() && endedWhileReading(context)) {
            context.close();
        }
        octets.release();
        reader = null;
    }

    /** Returns whether the exchange that waited for the octets that are being read has ended. */
    private boolean endedWhileReading(ChannelHandlerContext context) {
        return reader != null && ChannelOperations.get(context.channel()) != reader;
    }
}
