package org.chivecourse.transport.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.MessageLite;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.util.HexFormat;
import org.chivecourse.configuration.document.DocumentException;
import org.chivecourse.configuration.format.ConfigurationReader;
import org.chivecourse.configuration.format.ReadConfiguration;
import org.chivecourse.configuration.rule.ConfigurationException;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.protocol.peer.Deflation;
import org.chivecourse.protocol.peer.PeerCodec;
import org.chivecourse.protocol.peer.PeerMessageException;
import org.chivecourse.protocol.peer.generated.ConfigurationReply;
import org.chivecourse.protocol.peer.generated.ConfigurationRequest;
import org.chivecourse.protocol.platform.PlatformProtocol;
import org.chivecourse.transport.driver.CoreDriver;
import org.chivecourse.transport.http.BackendConnections;

/** Serves the configuration in force to other gateways, and fetches theirs, over a stream for each exchange. */
final class ConfigurationStream {

    /** The largest request, in bytes. */
    private static final int LARGEST_REQUEST_BYTES = 256;

    /** The largest reply, in bytes; a value that cannot be compressed grows by a little. */
    private static final int LARGEST_REPLY_BYTES = PlatformProtocol.LARGEST_VALUE_BYTES + 64 * 1024;

    /** The number of bytes of the length of a message. */
    private static final int LENGTH_BYTES = 4;

    /** The time within which a message has to arrive, in seconds. */
    private static final int TIMEOUT_SECONDS = 3;

    /** The time within which a connection has to open, in milliseconds. */
    private static final int CONNECT_MILLISECONDS = 1000;

    /** The thread of the exchange. */
    private final EventLoopGroup group;

    /** The driver of the decision core. */
    private final CoreDriver driver;

    /** Counts what is exchanged. */
    private final PeerMetrics metrics;

    /**
     * Creates a stream that is not started.
     *
     * @param group the thread of the exchange
     * @param driver the driver of the decision core
     * @param metrics counts what is exchanged
     */
    ConfigurationStream(EventLoopGroup group, CoreDriver driver, PeerMetrics metrics) {
        this.group = group;
        this.driver = driver;
        this.metrics = metrics;
    }

    /**
     * Starts to serve.
     *
     * @param address the address to listen on
     * @return {@code false} if the address cannot be listened on
     * @throws InterruptedException if the thread is interrupted
     */
    boolean start(InetSocketAddress address) throws InterruptedException {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        prepare(accepted, LARGEST_REQUEST_BYTES, ConfigurationRequest.getDefaultInstance());
                        accepted.pipeline().addLast(new RequestHandler());
                    }
                })
                .bind(address)
                .await()
                .isSuccess();
    }

    /**
     * Prepares a channel for messages.
     *
     * @param channel the channel
     * @param largestBytes the largest message to receive, in bytes
     * @param prototype the type of messages to receive
     */
    private static void prepare(SocketChannel channel, int largestBytes, MessageLite prototype) {
        channel.pipeline()
                .addLast(new ReadTimeoutHandler(TIMEOUT_SECONDS))
                .addLast(new LengthFieldBasedFrameDecoder(largestBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                .addLast(new ProtobufDecoder(prototype))
                .addLast(new ProtobufEncoder());
    }

    /**
     * Fetches a configuration.
     *
     * @param pull the decision
     */
    void fetch(Decision.PullConfiguration pull) {
        InetSocketAddress unresolved = BackendConnections.address(pull.address());
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLISECONDS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel connected) {
                        prepare(connected, LARGEST_REPLY_BYTES, ConfigurationReply.getDefaultInstance());
                        connected.pipeline().addLast(new ReplyHandler(pull));
                    }
                })
                .connect(new InetSocketAddress(unresolved.getHostString(), unresolved.getPort()))
                .addListener(future -> {
                    if (!future.isSuccess()) {
                        driver.handle(
                                new Event.PullFailed(pull.name(), future.cause().toString()));
                    }
                });
    }

    /** Answers requests with the configuration in force if it is the one that is asked for. */
    private final class RequestHandler extends SimpleChannelInboundHandler<ConfigurationRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, ConfigurationRequest request) {
            String wanted =
                    HexFormat.of().formatHex(request.getConfigurationDigest().toByteArray());
            ConfigurationReply.Builder reply = ConfigurationReply.newBuilder();
            driver.read(core -> core.configurations().current())
                    .map(ReadConfiguration::printed)
                    .filter(printed -> printed.digest().equals(wanted))
                    .ifPresent(
                            printed -> reply.setDeflatedText(ByteString.copyFrom(Deflation.deflate(printed.text()))));
            metrics.configurationSent(reply.getDeflatedText().size());
            context.writeAndFlush(reply.build()).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            metrics.dropped();
            context.close();
        }
    }

    /** Sends a request and takes the reply, which has to have the digest that was announced. */
    private final class ReplyHandler extends SimpleChannelInboundHandler<ConfigurationReply> {

        /** The decision. */
        private final Decision.PullConfiguration pull;

        /** Whether the core was told the end. */
        private boolean ended;

        /**
         * Creates a handler.
         *
         * @param pull the decision
         */
        private ReplyHandler(Decision.PullConfiguration pull) {
            this.pull = pull;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            context.writeAndFlush(ConfigurationRequest.newBuilder()
                    .setVersion(PeerCodec.VERSION)
                    .setConfigurationDigest(PeerCodec.bytes(pull.digest()))
                    .build());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ConfigurationReply reply) {
            try {
                String text =
                        Deflation.inflate(reply.getDeflatedText().toByteArray(), PlatformProtocol.LARGEST_VALUE_BYTES);
                ReadConfiguration read = new ConfigurationReader().read(pull.name(), text);
                if (!read.printed().digest().equals(pull.digest())) {
                    throw new PeerMessageException("digest " + read.printed().digest() + " was not announced");
                }
                end(new Event.ConfigurationRead(read, pull.name()));
            } catch (PeerMessageException | DocumentException | ConfigurationException exception) {
                end(new Event.PullFailed(pull.name(), exception.getMessage()));
            }
            context.close();
        }

        /**
         * Tells the core the end once.
         *
         * @param event the end
         */
        private void end(Event event) {
            if (!ended) {
                ended = true;
                driver.handle(event);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            end(new Event.PullFailed(pull.name(), "the connection closed"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            end(new Event.PullFailed(pull.name(), cause.toString()));
            context.close();
        }
    }
}
