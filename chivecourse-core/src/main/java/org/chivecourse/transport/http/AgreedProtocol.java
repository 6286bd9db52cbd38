package org.chivecourse.transport.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import org.chivecourse.transport.head.HeadLimits;
import org.chivecourse.transport.head.HeadRefusal;
import org.jboss.logging.Logger;
import reactor.netty.NettyPipeline;

/** The protocol of a caller's connection, which with TLS is agreed on only after the connection has been set up. */
enum AgreedProtocol {
    /** HTTP/1.1. */
    HTTP_1 {
        @Override
        boolean isSpoken(ChannelPipeline pipeline) {
            return pipeline.get(NettyPipeline.HttpCodec) instanceof HttpServerCodec;
        }

        @Override
        void addGuards(Channel channel, CallerGuards guards) {
            ContentMerger.addTo(channel);
            FramingOverheadGuard.addTo(channel, guards.maximumHeaderBytes());
            guards.heads().addToServer(channel, guards.refusal());
        }
    },

    /** HTTP/2. */
    HTTP_2 {
        @Override
        boolean isSpoken(ChannelPipeline pipeline) {
            return pipeline.get(NettyPipeline.H2MultiplexHandler) != null;
        }

        @Override
        void addGuards(Channel channel, CallerGuards guards) {
            guards.heads().addToStreams(channel, guards.refusal().log());
        }
    };

    /** The logger of this class. */
    private static final Logger LOGGER = Logger.getLogger(AgreedProtocol.class);

    /** Returns whether a connection has the handlers of this protocol. */
    abstract boolean isSpoken(ChannelPipeline pipeline);

    /** Adds the guards of this protocol to a connection that speaks it. */
    abstract void addGuards(Channel channel, CallerGuards guards);

    /**
     * Adds the guards of the protocol that a connection speaks, as soon as that is agreed on and before anything of it
     * is read. A connection that speaks none of these protocols then is closed.
     *
     * @param channel the connection, whose handlers of TLS and of protocols have been added
     * @param guards the limits on requests
     * @throws IllegalStateException if no protocol is spoken and none will be agreed on
     */
    static void guard(Channel channel, CallerGuards guards) {
        ChannelPipeline pipeline = channel.pipeline();
        if (pipeline.get(NettyPipeline.H2OrHttp11Codec) != null) {
            pipeline.addBefore(NettyPipeline.H2OrHttp11Codec, "chivecourse.agreement", new Agreement(guards));
        } else if (!addGuards(pipeline, guards)) {
            throw new IllegalStateException("a connection has no handlers that can be guarded: " + pipeline.names());
        }
    }

    /** Adds the guards of the protocol that a connection speaks, and returns whether it speaks any. */
    private static boolean addGuards(ChannelPipeline pipeline, CallerGuards guards) {
        for (AgreedProtocol protocol : values()) {
            if (protocol.isSpoken(pipeline)) {
                protocol.addGuards(pipeline.channel(), guards);
                return true;
            }
        }
        return false;
    }

    /**
     * The limits on the requests of callers.
     *
     * @param maximumHeaderBytes the maximum size of a request's head
     * @param heads the limits on the heads of requests
     * @param refusal how a request beyond the limits is refused
     */
    record CallerGuards(int maximumHeaderBytes, HeadLimits heads, HeadRefusal.Answering refusal) {}

    /** Waits in front of the handler that adds those of the protocol once it is agreed on. */
    private static final class Agreement extends ChannelInboundHandlerAdapter {

        /** The limits on requests. */
        private final CallerGuards guards;

        /** Creates a handler. */
        private Agreement(CallerGuards guards) {
            this.guards = guards;
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            context.fireUserEventTriggered(event);
            if (!(event instanceof SslHandshakeCompletionEvent completion) || !completion.isSuccess()) {
                return;
            }
            if (!addGuards(context.pipeline(), guards)) {
                LOGGER.errorf(
                        "closed a connection that cannot be guarded: %s",
                        context.pipeline().names());
                context.close();
            }
            context.pipeline().remove(this);
        }
    }
}
