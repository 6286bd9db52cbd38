package org.chivecourse.transport.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.MessageLite;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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
import org.chivecourse.protocol.peer.FleetCodec;
import org.chivecourse.protocol.peer.PeerCodec;
import org.chivecourse.protocol.peer.PeerMessageException;
import org.chivecourse.protocol.peer.generated.ConfigurationReply;
import org.chivecourse.protocol.peer.generated.ConfigurationRequest;
import org.chivecourse.protocol.platform.PlatformProtocol;
import org.chivecourse.transport.driver.CoreDriver;
import org.chivecourse.transport.http.BackendConnections;

/** Serves the configuration in force to other gateways, and fetches theirs, over a stream for each exchange. */
final class ConfigurationTransfer {

    /** The largest request, in bytes. */
    private static final int MAXIMUM_REQUEST_BYTES = 256;

    /** The largest reply, in bytes; a value that cannot be compressed grows by a little. */
    private static final int MAXIMUM_REPLY_BYTES = PlatformProtocol.MAXIMUM_VALUE_BYTES + 64 * 1024;

    /** The number of bytes of the length of a message. */
    private static final int LENGTH_FIELD_BYTES = 4;

    /** The time within which a message has to arrive, in seconds. */
    private static final int READ_TIMEOUT_SECONDS = 3;

    /** The time within which a connection has to open, in milliseconds. */
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 1000;

    /** The thread of the exchange. */
    private final EventLoopGroup group;

    /** The driver of the decision core. */
    private final CoreDriver driver;

    /** Counts what is exchanged. */
    private final PeerMetrics metrics;

    /** The listening channel, {@code null} before the start. */
    private volatile Channel serverChannel;

    /**
     * Creates a stream that is not started.
     *
     * @param group the thread of the exchange
     * @param driver the driver of the decision core
     * @param metrics counts what is exchanged
     */
    ConfigurationTransfer(EventLoopGroup group, CoreDriver driver, PeerMetrics metrics) {
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
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        configurePipeline(accepted, MAXIMUM_REQUEST_BYTES, ConfigurationRequest.getDefaultInstance());
                        accepted.pipeline().addLast(new RequestHandler());
                    }
                })
                .bind(address)
                .await();
        serverChannel = bound.channel();
        return bound.isSuccess();
    }

    /**
     * Stops to serve.
     */
    void stop() {
        if (serverChannel != null) {
            serverChannel.close();
        }
    }

    /**
     * Prepares a channel for messages.
     *
     * @param channel the channel
     * @param maximumBytes the largest message to receive, in bytes
     * @param prototype the type of messages to receive
     */
    private static void configurePipeline(SocketChannel channel, int maximumBytes, MessageLite prototype) {
        channel.pipeline()
                .addLast(new ReadTimeoutHandler(READ_TIMEOUT_SECONDS))
                .addLast(new LengthFieldBasedFrameDecoder(maximumBytes, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
                .addLast(new ProtobufFrameCodec(prototype));
    }

    /**
     * Fetches a configuration.
     *
     * @param pull the decision
     */
    void fetch(Decision.PullConfiguration pull) {
        ConfigurationRequest request = ConfigurationRequest.newBuilder()
                .setVersion(PeerCodec.VERSION)
                .setConfigurationDigest(PeerCodec.parseHexadecimal(pull.digest()))
                .build();
        fetch(pull.name(), pull.address(), request, reply -> readConfiguration(pull, reply));
    }

    /**
     * Fetches published items.
     *
     * @param pull the decision
     */
    void fetch(Decision.PullPublication pull) {
        ConfigurationRequest request = ConfigurationRequest.newBuilder()
                .setVersion(PeerCodec.VERSION)
                .setAsksPublication(true)
                .setPublicationAfter(pull.after())
                .build();
        fetch(
                pull.name(),
                pull.address(),
                request,
                reply -> new Event.PublicationPulled(pull.name(), FleetCodec.decode(reply.getPublication())));
    }

    /**
     * Sends a request to another gateway and tells the core what its reply says.
     *
     * @param name the name of the other gateway's host
     * @param address the address at which the other gateway listens
     * @param request the request
     * @param reader reads the reply
     */
    private void fetch(String name, String address, ConfigurationRequest request, ReplyReader reader) {
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel connected) {
                        configurePipeline(connected, MAXIMUM_REPLY_BYTES, ConfigurationReply.getDefaultInstance());
                        connected.pipeline().addLast(new ReplyHandler(name, request, reader));
                    }
                })
                .connect(BackendConnections.socketAddress(address))
                .addListener(future -> {
                    if (!future.isSuccess()) {
                        driver.handle(new Event.PullFailed(name, future.cause().toString()));
                    }
                });
    }

    /**
     * Reads the configuration of a reply, which has to have the digest that was announced.
     *
     * @param pull the decision
     * @param reply the reply
     * @return the event that tells it
     * @throws PeerMessageException if the reply holds another configuration
     * @throws DocumentException if the configuration cannot be read
     * @throws ConfigurationException if the configuration is invalid
     */
    private static Event readConfiguration(Decision.PullConfiguration pull, ConfigurationReply reply)
            throws PeerMessageException, DocumentException, ConfigurationException {
        String text = Deflation.inflate(reply.getDeflatedText().toByteArray(), PlatformProtocol.MAXIMUM_VALUE_BYTES);
        ReadConfiguration read = new ConfigurationReader().read(pull.name(), text);
        if (!read.printed().digest().equals(pull.digest())) {
            throw new PeerMessageException("digest " + read.printed().digest() + " was not announced");
        }
        return new Event.ConfigurationRead(read, pull.name());
    }

    /** Reads the reply of another gateway. */
    @FunctionalInterface
    private interface ReplyReader {

        /**
         * Reads a reply.
         *
         * @param reply the reply
         * @return the event that tells what it says
         * @throws PeerMessageException if the reply is not the one that was asked for
         * @throws DocumentException if a configuration cannot be read
         * @throws ConfigurationException if a configuration is invalid
         */
        Event read(ConfigurationReply reply) throws PeerMessageException, DocumentException, ConfigurationException;
    }

    /** Answers requests with the configuration in force if it is the one that is asked for, or with published items. */
    private final class RequestHandler extends SimpleChannelInboundHandler<ConfigurationRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, ConfigurationRequest request) {
            ConfigurationReply reply = request.getAsksPublication()
                    ? publishedItemsReply(request.getPublicationAfter())
                    : configurationReply(HexFormat.of()
                            .formatHex(request.getConfigurationDigest().toByteArray()));
            metrics.recordConfigurationSent(reply.getSerializedSize());
            context.writeAndFlush(reply).addListener(ChannelFutureListener.CLOSE);
        }

        /**
         * Returns the published items after a revision.
         *
         * @param after the revision
         * @return the reply
         */
        private ConfigurationReply publishedItemsReply(long after) {
            return ConfigurationReply.newBuilder()
                    .setPublication(FleetCodec.encode(
                            driver.read(core -> core.publishedState().changesAfter(Math.max(0, after)))))
                    .build();
        }

        /**
         * Returns the configuration in force if it is the one that is asked for.
         *
         * @param requestedDigest the digest
         * @return the reply
         */
        private ConfigurationReply configurationReply(String requestedDigest) {
            ConfigurationReply.Builder reply = ConfigurationReply.newBuilder();
            driver.read(core -> core.configurations().current())
                    .map(ReadConfiguration::printed)
                    .filter(printed -> printed.digest().equals(requestedDigest))
                    .ifPresent(
                            printed -> reply.setDeflatedText(ByteString.copyFrom(Deflation.deflate(printed.text()))));
            return reply.build();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            metrics.recordDropped();
            context.close();
        }
    }

    /** Sends a request and takes the reply. */
    private final class ReplyHandler extends SimpleChannelInboundHandler<ConfigurationReply> {

        /** The name of the other gateway's host. */
        private final String name;

        /** The request. */
        private final ConfigurationRequest request;

        /** Reads the reply. */
        private final ReplyReader reader;

        /** Whether the core was told the end. */
        private boolean completed;

        /**
         * Creates a handler.
         *
         * @param name the name of the other gateway's host
         * @param request the request
         * @param reader reads the reply
         */
        private ReplyHandler(String name, ConfigurationRequest request, ReplyReader reader) {
            this.name = name;
            this.request = request;
            this.reader = reader;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            context.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ConfigurationReply reply) {
            try {
                complete(reader.read(reply));
            } catch (PeerMessageException | DocumentException | ConfigurationException exception) {
                complete(new Event.PullFailed(name, exception.getMessage()));
            }
            context.close();
        }

        /**
         * Tells the core the end once.
         *
         * @param event the end
         */
        private void complete(Event event) {
            if (!completed) {
                completed = true;
                driver.handle(event);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            complete(new Event.PullFailed(name, "the connection closed"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            complete(new Event.PullFailed(name, cause.toString()));
            context.close();
        }
    }
}
