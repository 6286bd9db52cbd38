package org.chivecourse.transport.http;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The open connections of callers, with the number of exchanges under way on each. */
final class CallerConnections {

    /** The place of the number of exchanges with a connection. */
    private static final AttributeKey<AtomicInteger> EXCHANGES = AttributeKey.valueOf("chivecourse.exchanges");

    /** The open connections. */
    private final Set<Channel> open = ConcurrentHashMap.newKeySet();

    /**
     * Adds a connection, which is removed when it closes.
     *
     * @param channel the connection
     */
    void add(Channel channel) {
        channel.attr(EXCHANGES).set(new AtomicInteger());
        open.add(channel);
        channel.closeFuture().addListener(closed -> open.remove(channel));
    }

    /**
     * Notes that an exchange begins or ends.
     *
     * @param channel the connection, or one that it carries
     * @param change one for a beginning, minus one for an end
     */
    void exchanges(Channel channel, int change) {
        AtomicInteger count = counter(channel);
        if (count != null) {
            count.addAndGet(change);
        }
    }

    /**
     * Returns the number of exchanges of a connection.
     *
     * @param channel the connection, or a stream of it
     * @return the number, {@code null} if the connection is not known
     */
    private static AtomicInteger counter(Channel channel) {
        AtomicInteger count = channel.attr(EXCHANGES).get();
        return count == null && channel.parent() != null
                ? channel.parent().attr(EXCHANGES).get()
                : count;
    }

    /** Closes the connections without an exchange. */
    void closeIdle() {
        for (Channel channel : open) {
            channel.eventLoop().execute(() -> {
                AtomicInteger count = counter(channel);
                if (count == null || count.get() == 0) {
                    channel.close();
                }
            });
        }
    }
}
