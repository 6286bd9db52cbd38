package org.chivecourse.transport.crossing;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.AttributeKey;

/** Counts the bytes on a connection to another data centre under the cause of the exchange that last began on it. */
public final class CrossingMeter extends ChannelDuplexHandler {

    /** The meter of a connection. */
    private static final AttributeKey<CrossingMeter> METER = AttributeKey.valueOf("chivecourse.crossing-meter");

    /** Counts the bytes. */
    private final CrossingMetrics metrics;

    /** The cause under which bytes are counted. */
    private volatile CrossingCause cause;

    /** Creates a meter. */
    private CrossingMeter(CrossingMetrics metrics, CrossingCause cause) {
        this.metrics = metrics;
        this.cause = cause;
    }

    /**
     * Adds a meter to a new connection, unless it stays within this gateway's data centre.
     *
     * @param channel the connection
     * @param dataCentre the data centre of the other end, empty if it is not known
     * @param cause the cause of what passes before the first exchange
     * @param metrics counts the bytes
     */
    public static void addTo(Channel channel, String dataCentre, CrossingCause cause, CrossingMetrics metrics) {
        if (!metrics.crossesTo(dataCentre)) {
            return;
        }
        metrics.recordConnection();
        CrossingMeter meter = new CrossingMeter(metrics, cause);
        channel.attr(METER).set(meter);
        channel.pipeline().addFirst("chivecourse.crossing-meter", meter);
    }

    /**
     * Counts the further bytes on a connection under a cause. Has no effect on a connection without a meter.
     *
     * @param channel the connection
     * @param cause the cause of the exchange that begins
     */
    public static void begin(Channel channel, CrossingCause cause) {
        CrossingMeter meter = channel.attr(METER).get();
        if (meter != null) {
            meter.cause = cause;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
            metrics.recordReceived(cause, bytes.readableBytes());
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes) {
            metrics.recordSent(cause, bytes.readableBytes());
        }
        context.write(message, promise);
    }
}
