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
import org.chivecourse.protocol.peer.PeerCodec;
import org.chivecourse.protocol.peer.PeerMessageException;
import org.chivecourse.transport.driver.CoreDriver;
import org.chivecourse.transport.http.BackendConnections;
import org.jboss.logging.Logger;

/** Sends digests to other gateways and receives theirs, and has configurations fetched. */
public final class PeerEndpoint {

    /** The log. */
    private static final Logger LOGGER = Logger.getLogger(PeerEndpoint.class);

    /** The number of free ports that are tried where any will do. */
    private static final int MAXIMUM_BIND_TRIES = 20;

    /** The address to listen on. */
    private final InetSocketAddress address;

    /** Prints and reads datagrams. */
    private final PeerCodec codec;

    /** The driver of the decision core. */
    private final CoreDriver driver;

    /** Counts what is exchanged. */
    private final PeerMetrics metrics;

    /** Serves and fetches configurations. */
    private final ConfigurationTransfer configurationTransfer;

    /** The thread of the exchange. */
    private final EventLoopGroup group;

    /** The largest number of addresses that are kept resolved. */
    private static final int MAXIMUM_RESOLVED_ADDRESSES = 4096;

    /** The socket addresses of other gateways. */
    private final Map<String, InetSocketAddress> resolvedAddresses = new ConcurrentHashMap<>();

    /** The channel of datagrams, {@code null} before the start. */
    private volatile Channel datagramChannel;

    /**
     * Creates an endpoint that is not started.
     *
     * @param address the address to listen on
     * @param codec prints and reads datagrams
     * @param driver the driver of the decision core
     * @param metrics counts what is exchanged
     * @param group the threads that it runs on
     */
    public PeerEndpoint(
            InetSocketAddress address, PeerCodec codec, CoreDriver driver, PeerMetrics metrics, EventLoopGroup group) {
        this.group = group;
        this.address = address;
        this.codec = codec;
        this.driver = driver;
        this.metrics = metrics;
        configurationTransfer = new ConfigurationTransfer(group, driver, metrics);
    }

    /**
     * Starts to listen for datagrams and streams on the same port.
     *
     * @throws InterruptedException if the thread is interrupted
     * @throws IOException if the port, or each of several free ones where any will do, is in use
     */
    public void start() throws InterruptedException, IOException {
        int tries = address.getPort() == 0 ? MAXIMUM_BIND_TRIES : 1;
        IOException lastFailure = null;
        for (int count = 0; count < tries; count++) {
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
     * Binds datagrams to a port and streams to the same.
     *
     * @throws InterruptedException if the thread is interrupted
     * @throws IOException if the port is in use
     */
    private void bind() throws InterruptedException, IOException {
        ChannelFuture bound = new Bootstrap()
                .group(group)
                .channel(NioDatagramChannel.class)
                .handler(new DatagramReceiver())
                .bind(address)
                .await();
        if (!bound.isSuccess()) {
            throw new IOException("address " + address + " cannot be listened on", bound.cause());
        }
        datagramChannel = bound.channel();
        if (!configurationTransfer.start(new InetSocketAddress(address.getHostString(), port()))) {
            int boundPort = port();
            datagramChannel.close().await();
            throw new IOException("port " + boundPort + " of " + address + " is in use for streams");
        }
    }

    /**
     * Returns the port that the endpoint is bound to.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) datagramChannel.localAddress()).getPort();
    }

    /**
     * Stops to listen.
     */
    public void stop() {
        if (datagramChannel != null) {
            datagramChannel.close();
        }
        configurationTransfer.stop();
    }

    /**
     * Carries out a decision about other gateways.
     *
     * @param decision the decision
     * @return {@code false} if the decision concerns something else
     */
    public boolean perform(Decision decision) {
        if (decision instanceof Decision.SendDigest send) {
            send(codec.encode(send.digest()), send.address());
        } else if (decision instanceof Decision.AskKey ask) {
            byte[] question = codec.encode(ask.question());
            ask.addresses().forEach(to -> send(question, to));
        } else if (decision instanceof Decision.ReplyKey reply) {
            send(codec.encode(reply.reply()), reply.address());
        } else if (decision instanceof Decision.SendFleetDigest tell) {
            byte[] digest = codec.encode(tell.digest(), System.nanoTime());
            tell.addresses().forEach(to -> send(digest, to));
        } else if (decision instanceof Decision.PullConfiguration pull) {
            configurationTransfer.fetch(pull);
        } else if (decision instanceof Decision.PullPublication pull) {
            configurationTransfer.fetch(pull);
        } else {
            return false;
        }
        return true;
    }

    /**
     * Sends a datagram.
     *
     * @param datagram the datagram
     * @param address the address to send it to
     */
    private void send(byte[] datagram, String address) {
        if (datagram.length > PeerCodec.MAXIMUM_DATAGRAM_BYTES) {
            LOGGER.errorf("a datagram of %d bytes is too large to send", datagram.length);
            return;
        }
        metrics.recordDatagramSent(datagram.length);
        if (resolvedAddresses.size() >= MAXIMUM_RESOLVED_ADDRESSES) {
            resolvedAddresses.clear();
        }
        InetSocketAddress recipient = resolvedAddresses.computeIfAbsent(address, BackendConnections::socketAddress);
        datagramChannel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), recipient));
    }

    /** Receives datagrams. */
    private final class DatagramReceiver extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            byte[] datagram = new byte[packet.content().readableBytes()];
            packet.content().readBytes(datagram);
            metrics.recordDatagramReceived(datagram.length);
            try {
                InetSocketAddress sender = packet.sender();
                String senderAddress = sender.getAddress().getHostAddress() + ":" + sender.getPort();
                driver.handle(codec.decode(datagram, senderAddress, System.nanoTime()));
            } catch (PeerMessageException exception) {
                metrics.recordDropped();
                LOGGER.debugf("datagram of %s was dropped: %s", packet.sender(), exception.getMessage());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOGGER.debugf("datagrams: %s", cause);
        }
    }
}
