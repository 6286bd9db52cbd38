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
import org.chivecourse.configuration.format.LoadedConfiguration;
import org.chivecourse.configuration.rule.ConfigurationException;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.protocol.peer.Deflation;
import org.chivecourse.protocol.peer.PeerCodec;
import org.chivecourse.protocol.peer.PeerMessageException;
import org.chivecourse.protocol.peer.PublicationCodec;
import org.chivecourse.protocol.peer.generated.ConfigurationReply;
import org.chivecourse.protocol.peer.generated.ConfigurationRequest;
import org.chivecourse.protocol.platform.PlatformProtocol;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.publication.PublicationRevision;
import org.chivecourse.transport.connection.ConnectionActivity;
import org.chivecourse.transport.connection.ConnectionLimit;
import org.chivecourse.transport.driver.CoreDriver;
import org.chivecourse.transport.http.BackendConnections;

/**
 * Serves the configuration in force and published items to other gateways, and fetches theirs, with a TCP connection
 * for each request.
 */
final class ConfigurationTransfer {

    /** The maximum size of a request. */
    private static final int MAXIMUM_REQUEST_BYTES = 256;

    /**
     * The maximum size of a reply. The margin above the maximum size of a value covers a value that grows a little in
     * compression.
     */
    private static final int MAXIMUM_REPLY_BYTES = PlatformProtocol.MAXIMUM_VALUE_BYTES + 64 * 1024;

    /** The maximum size of published items after they are decompressed. */
    private static final int MAXIMUM_PUBLICATION_BYTES = 8 * 1024 * 1024;

    /** The size of the field with the length of a message that precedes the message. */
    private static final int LENGTH_FIELD_BYTES = 4;

    /** The maximum time without received bytes before a connection is closed. */
    private static final int READ_TIMEOUT_SECONDS = 3;

    /** The maximum time to open a connection to another gateway. */
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 1000;

    /** The event loops that all channels run on. */
    private final EventLoopGroup group;

    /** The driver of the decision core. */
    private final CoreDriver driver;

    /** The metrics of exchanged messages. */
    private final PeerMetrics metrics;

    /** The limit on the connections that other gateways open. */
    private final ConnectionLimit connections;

    /** Composes replies with published items. */
    private final PublicationReplies publicationReplies;

    /** The listening channel, {@code null} before the start. */
    private volatile Channel serverChannel;

    /**
     * Creates a transfer that does not serve other gateways yet.
     *
     * @param group the event loops that all channels run on
     * @param driver the driver of the decision core
     * @param metrics the metrics of exchanged messages
     * @param connections the limit on the connections that other gateways open
     */
    ConfigurationTransfer(EventLoopGroup group, CoreDriver driver, PeerMetrics metrics, ConnectionLimit connections) {
        this.connections = connections;
        this.group = group;
        this.driver = driver;
        this.metrics = metrics;
        publicationReplies = new PublicationReplies(driver);
    }

    /**
     * Starts to serve other gateways.
     *
     * @param address the address to listen on
     * @return {@code false} if the address cannot be bound
     * @throws InterruptedException if the thread is interrupted
     */
    boolean start(InetSocketAddress address) throws InterruptedException {
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        connections.admit(accepted);
                        configurePipeline(accepted, MAXIMUM_REQUEST_BYTES, ConfigurationRequest.getDefaultInstance());
                        accepted.pipeline().addLast(new RequestHandler());
                        InetSocketAddress remote = accepted.remoteAddress();
                        metrics.measure(accepted, remote.getAddress().getHostAddress() + ":" + remote.getPort());
                    }
                })
                .bind(address)
                .await();
        serverChannel = bound.channel();
        return bound.isSuccess();
    }

    /** Stops serving other gateways. Has no effect before the start. */
    void stop() {
        if (serverChannel != null) {
            serverChannel.close();
        }
    }

    /**
     * Adds the handlers for timeouts, frames and messages to a channel.
     *
     * @param channel the channel
     * @param maximumBytes the maximum size of a received message
     * @param prototype the default instance of the messages to receive
     */
    private static void configurePipeline(SocketChannel channel, int maximumBytes, MessageLite prototype) {
        channel.pipeline()
                .addLast(new ReadTimeoutHandler(READ_TIMEOUT_SECONDS))
                .addLast(new LengthFieldBasedFrameDecoder(maximumBytes, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
                .addLast(new ProtobufFrameCodec(prototype));
    }

    /**
     * Fetches a configuration and informs the decision core of it or of the failure.
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
     * Fetches published items and informs the decision core of them or of the failure.
     *
     * @param pull the decision
     */
    void fetch(Decision.PullPublication pull) {
        ConfigurationRequest request = ConfigurationRequest.newBuilder()
                .setVersion(PeerCodec.VERSION)
                .setAsksPublication(true)
                .setAcceptsCompact(true)
                .setPublicationAfter(PublicationRevision.number(pull.after()))
                .setPublicationEpoch(PublicationRevision.epoch(pull.after()))
                .build();
        fetch(
                pull.name(),
                pull.address(),
                request,
                reply -> new Event.PublicationPulled(pull.name(), readPublication(reply)));
    }

    /**
     * Reads the published items in a reply.
     *
     * @param reply the reply
     * @return the items
     * @throws PeerMessageException if the reply is malformed, or the other gateway sends as many as it may
     */
    private static FleetDigest.Changes readPublication(ConfigurationReply reply) throws PeerMessageException {
        if (reply.getBusy()) {
            throw new PeerMessageException("the other gateway is busy");
        }
        if (reply.getDeflatedPublication().isEmpty()) {
            return PublicationCodec.decode(reply.getPublication());
        }
        byte[] publication =
                Deflation.inflateBytes(reply.getDeflatedPublication().toByteArray(), MAXIMUM_PUBLICATION_BYTES);
        return PublicationCodec.decode(publication);
    }

    /**
     * Sends a request to another gateway and passes the event for its reply to the decision core.
     *
     * @param name the name of the other gateway's host
     * @param address the address at which the other gateway listens
     * @param request the request
     * @param reader converts the reply to an event
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
                        metrics.measure(connected, address);
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
     * Reads the configuration in a reply, which has to have the requested digest.
     *
     * @param pull the decision
     * @param reply the reply
     * @return the event for the configuration
     * @throws PeerMessageException if the reply is malformed or contains another configuration
     * @throws DocumentException if the configuration cannot be parsed
     * @throws ConfigurationException if the configuration is invalid
     */
    private static Event readConfiguration(Decision.PullConfiguration pull, ConfigurationReply reply)
            throws PeerMessageException, DocumentException, ConfigurationException {
        String text = Deflation.inflate(reply.getDeflatedText().toByteArray(), PlatformProtocol.MAXIMUM_VALUE_BYTES);
        LoadedConfiguration read = new ConfigurationReader().read(pull.name(), text);
        if (!read.printed().digest().equals(pull.digest())) {
            throw new PeerMessageException("digest " + read.printed().digest() + " is not the requested one");
        }
        return new Event.ConfigurationRead(read, pull.name());
    }

    /** Converts the reply of another gateway to an event. */
    @FunctionalInterface
    private interface ReplyReader {

        /**
         * Reads a reply.
         *
         * @param reply the reply
         * @return the event for the content of the reply
         * @throws PeerMessageException if the reply is malformed or not the requested one
         * @throws DocumentException if a configuration cannot be parsed
         * @throws ConfigurationException if a configuration is invalid
         */
        Event read(ConfigurationReply reply) throws PeerMessageException, DocumentException, ConfigurationException;
    }

    /**
     * Replies to requests with published items, or with the configuration in force if it is the requested one, and
     * closes the connection.
     */
    private final class RequestHandler extends SimpleChannelInboundHandler<ConfigurationRequest> {

        /** Whether a request has been answered. A connection carries one; further ones are ignored. */
        private boolean answered;

        @Override
        protected void channelRead0(ChannelHandlerContext context, ConfigurationRequest request) {
            if (answered) {
                return;
            }
            answered = true;
            ConnectionActivity.of(context.channel()).begin();
            ConfigurationReply reply = request.getAsksPublication()
                    ? publishedItemsReply(request, context.channel())
                    : configurationReply(HexFormat.of()
                            .formatHex(request.getConfigurationDigest().toByteArray()));
            metrics.recordConfigurationSent(reply.getSerializedSize());
            context.writeAndFlush(reply).addListener(ChannelFutureListener.CLOSE);
        }

        /**
         * Returns a reply with the published items after a revision, of which negative parts count as zero.
         *
         * @param request the request
         * @param channel the connection of the request
         * @return the reply
         */
        private ConfigurationReply publishedItemsReply(ConfigurationRequest request, Channel channel) {
            long after = PublicationRevision.of(request.getPublicationEpoch(), request.getPublicationAfter());
            return request.getAcceptsCompact()
                    ? publicationReplies.compactReply(after, channel)
                    : publicationReplies.plainReply(after, channel);
        }

        /**
         * Returns a reply with the configuration in force if it has the requested digest, and otherwise an empty reply.
         *
         * @param requestedDigest the digest in hexadecimal
         * @return the reply
         */
        private ConfigurationReply configurationReply(String requestedDigest) {
            ConfigurationReply.Builder reply = ConfigurationReply.newBuilder();
            driver.read(core -> core.configurations().current())
                    .map(LoadedConfiguration::printed)
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

    /** Sends a request and passes the event for its reply or its failure to the decision core, once. */
    private final class ReplyHandler extends SimpleChannelInboundHandler<ConfigurationReply> {

        /** The name of the other gateway's host. */
        private final String name;

        /** The request. */
        private final ConfigurationRequest request;

        /** Converts the reply to an event. */
        private final ReplyReader reader;

        /** Whether the decision core has been informed of the result. */
        private boolean completed;

        /**
         * Creates a handler.
         *
         * @param name the name of the other gateway's host
         * @param request the request
         * @param reader converts the reply to an event
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
         * Informs the decision core of the result, unless it has been informed already.
         *
         * @param event the result
         */
        private void complete(Event event) {
            if (!completed) {
                completed = true;
                driver.handle(event);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            complete(new Event.PullFailed(name, "the connection was closed before a reply arrived"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            complete(new Event.PullFailed(name, cause.toString()));
            context.close();
        }
    }
}
