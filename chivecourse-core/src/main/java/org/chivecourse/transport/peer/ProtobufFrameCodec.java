package org.chivecourse.transport.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageCodec;
import java.util.List;

/** Converts between frames and messages of the lite runtime of Protocol Buffers. */
final class ProtobufFrameCodec extends MessageToMessageCodec<ByteBuf, MessageLite> {

    /** The default instance of the messages to receive. */
    private final MessageLite prototype;

    /**
     * Creates a codec.
     *
     * @param prototype the default instance of the messages to receive
     */
    ProtobufFrameCodec(MessageLite prototype) {
        this.prototype = prototype;
    }

    @Override
    protected void encode(ChannelHandlerContext context, MessageLite message, List<Object> out) {
        out.add(Unpooled.wrappedBuffer(message.toByteArray()));
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> out)
            throws InvalidProtocolBufferException {
        out.add(prototype.getParserForType().parseFrom(ByteBufUtil.getBytes(frame)));
    }
}
