package org.chivecourse.transport.http;

import io.netty.channel.Channel;

/** Adds to connections the handlers that bound what the other side can make this gateway do by the bytes it writes. */
final class InboundGuards {

    /** Prevents instantiation. */
    private InboundGuards() {}

    /**
     * Adds the handlers of a connection to a backend server or to another gateway.
     *
     * @param channel the connection
     */
    static void addToBackendServer(Channel channel) {
        StrayBytesGuard.addTo(channel);
        addToCaller(channel);
    }

    /**
     * Adds the handlers of a caller's connection.
     *
     * @param channel the connection
     */
    static void addToCaller(Channel channel) {
        ContentMerger.addTo(channel);
        FramingOverheadGuard.addTo(channel);
    }
}
