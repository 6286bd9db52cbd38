package org.chivecourse.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import reactor.netty.NettyPipeline;

/**
 * Merges the parts of a body that are decoded in one turn of reading, so that a body of many small chunks is forwarded
 * in as few writes as another one.
 */
final class ContentMerger extends ChannelInboundHandlerAdapter {

    /** The parts that have not been passed on, {@code null} if there are none. */
    private HttpContent pending;

    /** Creates the merger of a connection. */
    private ContentMerger() {}

    /**
     * Adds a merger to a connection, behind the handler that decodes HTTP/1.1.
     *
     * @param channel the connection
     */
    static void addTo(Channel channel) {
        channel.pipeline().addAfter(NettyPipeline.HttpCodec, "chivecourse.merged-content", new ContentMerger());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpContent content && !(message instanceof LastHttpContent)) {
            append(context, content);
            return;
        }
        passOn(context);
        context.fireChannelRead(message);
    }

    /** Adds a part of a body to those before it. */
    private void append(ChannelHandlerContext context, HttpContent content) {
        if (pending == null) {
            pending = content;
            return;
        }
        ByteBuf before = pending.content();
        ByteBuf merged = before;
        if (before.refCnt() > 1 || before.maxWritableBytes() < content.content().readableBytes()) {
            merged = context.alloc().buffer(ConnectionOptions.BYTES_PER_TURN);
            merged.writeBytes(before);
            before.release();
            pending = new DefaultHttpContent(merged);
        }
        merged.writeBytes(content.content());
        content.release();
    }

    /** Passes on what is pending. */
    private void passOn(ChannelHandlerContext context) {
        HttpContent merged = pending;
        if (merged != null) {
            pending = null;
            context.fireChannelRead(merged);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        passOn(context);
        context.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        passOn(context);
        context.fireChannelInactive();
    }

    /** Discards what is pending, since the exchange fails. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        discard();
        context.fireExceptionCaught(cause);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        discard();
    }

    /** Discards what is pending. */
    private void discard() {
        if (pending != null) {
            pending.release();
            pending = null;
        }
    }
}
