package org.chivecourse.transport.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.protocol.peer.PeerCodec;
import org.chivecourse.protocol.peer.PeerMessageException;
import org.chivecourse.transport.connection.ConnectionLimit;
import org.chivecourse.transport.driver.CoreDriver;
import org.chivecourse.transport.http.BackendConnections;
import org.jboss.logging.Logger;

/** Sends datagrams to other gateways and receives theirs, and serves and fetches configurations and published items. */
public final class PeerEndpoint {

    /** The logger of this class. */
    private static final Logger LOGGER = Logger.getLogger(PeerEndpoint.class);

    /**
     * The maximum number of free ports that are tried if any free port may be used. A port that is free for datagrams
     * can be in use for TCP.
     */
    private static final int MAXIMUM_BIND_ATTEMPTS = 20;

    /** The address to listen on, with port zero for any free port. */
    private final InetSocketAddress address;

    /** Encodes and decodes datagrams. */
    private final PeerCodec codec;

    /** The driver of the decision core. */
    private final CoreDriver driver;

    /** The metrics of exchanged messages. */
    private final PeerMetrics metrics;

    /** Serves and fetches configurations and published items. */
    private final ConfigurationTransfer configurationTransfer;

    /** The event loops that all channels run on. */
    private final EventLoopGroup group;

    /** The maximum number of resolved addresses that are cached. */
    private static final int MAXIMUM_RESOLVED_ADDRESSES = 4096;

    /** The socket addresses of other gateways, cached by their text. The cache is cleared when it is full. */
    private final Map<String, InetSocketAddress> resolvedAddresses = new ConcurrentHashMap<>();

    /** The channel of datagrams, {@code null} before the start. */
    private volatile Channel datagramChannel;

    /**
     * Creates an endpoint that is not started.
     *
     * @param address the address to listen on, with port zero for any free port
     * @param codec encodes and decodes datagrams
     * @param driver the driver of the decision core
     * @param metrics the metrics of exchanged messages
     * @param group the event loops that all channels run on
     * @param connections the limit on the connections that other gateways open
     */
    public PeerEndpoint(
            InetSocketAddress address,
            PeerCodec codec,
            CoreDriver driver,
            PeerMetrics metrics,
            EventLoopGroup group,
            ConnectionLimit connections) {
        this.group = group;
        this.address = address;
        this.codec = codec;
        this.driver = driver;
        this.metrics = metrics;
        configurationTransfer = new ConfigurationTransfer(group, driver, metrics, connections);
    }

    /**
     * Starts to listen for datagrams and for TCP connections on the same port.
     *
     * @throws InterruptedException if the thread is interrupted
     * @throws IOException if the port is in use, or each port that was tried if any free port may be used
     */
    public void start() throws InterruptedException, IOException {
        int attempts = address.getPort() == 0 ? MAXIMUM_BIND_ATTEMPTS : 1;
        IOException lastFailure = null;
        for (int count = 0; count < attempts; count++) {
            try {
                bind();
                return;
            } catch (IOException exception) {
                lastFailure = exception;
            }
        }
        throw lastFailure;
    }

    /**
     * Binds the datagram channel to a port and the TCP server to the same port.
     *
     * @throws InterruptedException if the thread is interrupted
     * @throws IOException if the port is in use for datagrams or TCP
     */
    private void bind() throws InterruptedException, IOException {
        ChannelFuture bound = new Bootstrap()
                .group(group)
                .channel(NioDatagramChannel.class)
                .handler(new DatagramReceiver())
                .bind(address)
                .await();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on address " + address + " for datagrams", bound.cause());
        }
        datagramChannel = bound.channel();
        if (!configurationTransfer.start(new InetSocketAddress(address.getHostString(), port()))) {
            int boundPort = port();
            datagramChannel.close().await();
            throw new IOException("TCP port " + boundPort + " of " + address + " is in use");
        }
    }

    /** Returns the port that the endpoint is bound to, after the start. */
    public int port() {
        return ((InetSocketAddress) datagramChannel.localAddress()).getPort();
    }

    /** Stops listening. */
    public void stop() {
        if (datagramChannel != null) {
            datagramChannel.close();
        }
        configurationTransfer.stop();
    }

    /**
     * Performs a decision about other gateways.
     *
     * @param decision the decision
     * @return {@code false} if the decision concerns something else
     */
    public boolean perform(Decision decision) {
        if (decision instanceof Decision.SendDigest send) {
            send(codec.encode(send.digest()), send.address());
        } else if (decision instanceof Decision.AskKey ask) {
            byte[] query = codec.encode(ask.question());
            ask.addresses().forEach(recipient -> send(query, recipient));
        } else if (decision instanceof Decision.ReplyKey reply) {
            send(codec.encode(reply.reply()), reply.address());
        } else if (decision instanceof Decision.SendFleetDigest sendFleetDigest) {
            byte[] digest = codec.encode(sendFleetDigest.digest(), System.nanoTime());
            sendFleetDigest.addresses().forEach(recipient -> {
                metrics.recordCrossing(sendFleetDigest, recipient, digest.length);
                send(digest, recipient);
            });
        } else if (decision instanceof Decision.RequestSlot request) {
            sendSlotMessage(codec.encode(request.request()), request.address(), decision);
        } else if (decision instanceof Decision.ReplySlot reply) {
            sendSlotMessage(codec.encode(reply.reply()), reply.address(), decision);
        } else if (decision instanceof Decision.ReleaseSlot release) {
            sendSlotMessage(codec.encode(release.release()), release.address(), decision);
        } else if (decision instanceof Decision.PullConfiguration pull) {
            configurationTransfer.fetch(pull);
        } else if (decision instanceof Decision.PullPublication pull) {
            configurationTransfer.fetch(pull);
        } else {
            return false;
        }
        return true;
    }

    /** Sends a message about slots. */
    private void sendSlotMessage(byte[] datagram, String recipient, Decision decision) {
        metrics.recordSlotMessage(decision);
        send(datagram, recipient);
    }

    /**
     * Sends a datagram, unless it exceeds the maximum size.
     *
     * @param datagram the datagram
     * @param address the address of the recipient, with its port
     */
    private void send(byte[] datagram, String address) {
        if (datagram.length > PeerCodec.MAXIMUM_DATAGRAM_BYTES) {
            LOGGER.errorf("did not send a datagram of %d bytes, which exceeds the maximum size", datagram.length);
            return;
        }
        metrics.recordDatagramSent(datagram.length);
        if (resolvedAddresses.size() >= MAXIMUM_RESOLVED_ADDRESSES) {
            resolvedAddresses.clear();
        }
        InetSocketAddress recipient = resolvedAddresses.computeIfAbsent(address, BackendConnections::socketAddress);
        datagramChannel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), recipient));
    }

    /**
     * Decodes the datagrams of other gateways and passes them to the decision core. Datagrams that cannot be used are
     * counted and dropped.
     */
    private final class DatagramReceiver extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            byte[] datagram = new byte[packet.content().readableBytes()];
            packet.content().readBytes(datagram);
            metrics.recordDatagramReceived(datagram.length);
            try {
                InetSocketAddress sender = packet.sender();
                String senderAddress = sender.getAddress().getHostAddress() + ":" + sender.getPort();
                Event event = codec.decode(datagram, senderAddress, System.nanoTime());
                metrics.recordArrival(event, datagram.length);
                driver.handle(event);
            } catch (PeerMessageException exception) {
                metrics.recordDropped();
                LOGGER.debugf("dropped a datagram from %s: %s", packet.sender(), exception.getMessage());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOGGER.debugf("error on the datagram channel: %s", cause);
        }
    }
}
