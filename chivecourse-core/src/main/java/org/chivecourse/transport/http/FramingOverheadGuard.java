package org.chivecourse.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import reactor.netty.NettyPipeline;

/**
 * Closes a connection whose bytes are mostly framing: empty lines, informational answers, chunks of a byte, chunk
 * extensions or trailers, which cost far more to decode than they carry and may have no end.
 */
final class FramingOverheadGuard extends ChannelInboundHandlerAdapter {

    /** The number of bytes that may be received beyond twice those of the body that they carry. */
    private static final long MAXIMUM_OVERHEAD_BYTES = 12 * 1024;

    /** The number of bytes received since the last head of a request or final answer. */
    private long received;

    /** The number of those bytes that belong to a body. */
    private long carried;

    /** Whether the connection has been closed. What is still decoded belongs to no exchange. */
    private boolean closed;

    /** The number of bytes that a head may have which has not been decoded. */
    private final long maximumHeadBytes;

    /** Whether the body of a message arrives. */
    private boolean inBody;

    /** Creates the guard of a connection. */
    private FramingOverheadGuard(long maximumHeadBytes) {
        this.maximumHeadBytes = maximumHeadBytes;
    }

    /**
     * Adds a guard to a connection, before and behind the handler that decodes HTTP/1.1.
     *
     * @param channel the connection
     * @param maximumHeadBytes the number of bytes that a head may have beside the framing
     */
    static void addTo(Channel channel, long maximumHeadBytes) {
        ChannelPipeline pipeline = channel.pipeline();
        FramingOverheadGuard guard = new FramingOverheadGuard(maximumHeadBytes);
        pipeline.addBefore(NettyPipeline.HttpCodec, "chivecourse.received-bytes", guard);
        pipeline.addAfter(NettyPipeline.HttpCodec, "chivecourse.carried-bytes", guard.decodedHandler());
    }

    /** Returns the handler of decoded messages. */
    private ChannelHandler decodedHandler() {
        return new ChannelInboundHandlerAdapter() {

            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (closed) {
                    ReferenceCountUtil.release(message);
                    return;
                }
                if (message instanceof HttpMessage head && !informational(head)) {
                    received = 0;
                    carried = 0;
                    inBody = true;
                }
                if (message instanceof HttpContent content) {
                    carried += content.content().readableBytes();
                }
                if (message instanceof LastHttpContent) {
                    inBody = false;
                }
                context.fireChannelRead(message);
            }
        };
    }

    /** Returns whether a message is an answer that another one follows. */
    private static boolean informational(HttpMessage head) {
        return head instanceof HttpResponse response && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        received += ((ByteBuf) message).readableBytes();
        context.fireChannelRead(message);
        long maximumOverhead = MAXIMUM_OVERHEAD_BYTES + (inBody ? 0 : maximumHeadBytes);
        if (!closed && received > 2 * carried + maximumOverhead) {
            closed = true;
            context.fireExceptionCaught(
                    new TooLongFrameException(received + " bytes arrived for a body of " + carried + " bytes"));
            context.close();
        }
    }
}
