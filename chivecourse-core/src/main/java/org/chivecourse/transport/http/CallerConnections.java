package org.chivecourse.transport.http;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The open connections of callers, with the number of exchanges in progress on each of them. */
final class CallerConnections {

    /** The attribute of a connection that holds its number of exchanges in progress. */
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
     * Records that an exchange begins or ends.
     *
     * @param channel the connection, or one of its HTTP/2 streams
     * @param delta one if the exchange begins, minus one if it ends
     */
    void adjustExchangeCount(Channel channel, int delta) {
        AtomicInteger count = exchangeCount(channel);
        if (count != null) {
            count.addAndGet(delta);
        }
    }

    /**
     * Returns the counter of the exchanges in progress on a connection.
     *
     * @param channel the connection, or one of its HTTP/2 streams
     * @return the counter, {@code null} if the connection was not added
     */
    private static AtomicInteger exchangeCount(Channel channel) {
        AtomicInteger count = channel.attr(EXCHANGE_COUNT).get();
        return count == null && channel.parent() != null
                ? channel.parent().attr(EXCHANGE_COUNT).get()
                : count;
    }

    /** Returns the number of exchanges in progress on all connections. */
    int exchangeCount() {
        int sum = 0;
        for (Channel channel : openChannels) {
            AtomicInteger count = exchangeCount(channel);
            sum += count == null ? 0 : count.get();
        }
        return sum;
    }

    /** Closes the connections without an exchange in progress, each on its own event loop. */
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
