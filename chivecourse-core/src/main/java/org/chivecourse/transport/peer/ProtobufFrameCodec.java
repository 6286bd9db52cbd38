package org.chivecourse.transport.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageCodec;
import java.util.List;

/** Turns frames into messages and messages into frames, with the small runtime of the message library. */
final class ProtobufFrameCodec extends MessageToMessageCodec<ByteBuf, MessageLite> {

    /** The type of messages to receive. */
    private final MessageLite prototype;

    /**
     * Creates a codec.
     *
     * @param prototype the type of messages to receive
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
