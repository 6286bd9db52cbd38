package org.chivecourse.transport.http;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The open connections of callers, with the number of exchanges under way on each. */
final class CallerConnections {

    /** The place of the number of exchanges with a connection. */
    private static final AttributeKey<AtomicInteger> EXCHANGE_COUNT = AttributeKey.valueOf("chivecourse.exchanges");

    /** The open connections. */
    private final Set<Channel> openChannels = ConcurrentHashMap.newKeySet();

    /**
     * Adds a connection, which is removed when it closes.
     *
     * @param channel the connection
     */
    void add(Channel channel) {
        channel.attr(EXCHANGE_COUNT).set(new AtomicInteger());
        openChannels.add(channel);
        channel.closeFuture().addListener(closed -> openChannels.remove(channel));
    }

    /**
     * Notes that an exchange begins or ends.
     *
     * @param channel the connection, or one that it carries
     * @param delta one for a beginning, minus one for an end
     */
    void adjustExchangeCount(Channel channel, int delta) {
        AtomicInteger count = exchangeCount(channel);
        if (count != null) {
            count.addAndGet(delta);
        }
    }

    /**
     * Returns the number of exchanges of a connection.
     *
     * @param channel the connection, or a stream of it
     * @return the number, {@code null} if the connection is not known
     */
    private static AtomicInteger exchangeCount(Channel channel) {
        AtomicInteger count = channel.attr(EXCHANGE_COUNT).get();
        return count == null && channel.parent() != null
                ? channel.parent().attr(EXCHANGE_COUNT).get()
                : count;
    }

    /** Closes the connections without an exchange. */
    void closeIdle() {
        for (Channel channel : openChannels) {
            channel.eventLoop().execute(() -> {
                AtomicInteger count = exchangeCount(channel);
                if (count == null || count.get() == 0) {
                    channel.close();
                }
            });
        }
    }
}
