package org.chivecourse.transport.http;

import io.netty.channel.Channel;
import org.chivecourse.transport.head.HeadLimits;
import org.chivecourse.transport.head.HeadRefusal;
import org.chivecourse.transport.head.StatusLineGuard;

/** Adds to connections the handlers that bound what the other side can make this gateway do by the bytes it writes. */
final class InboundGuards {

    /** Prevents instantiation. */
    private InboundGuards() {}

    /**
     * Adds the handlers of a connection to a backend server or to another gateway.
     *
     * @param channel the connection
     * @param heads the limits on the heads of answers
     */
    static void addToBackendServer(Channel channel, HeadLimits heads) {
        StrayBytesGuard.addTo(channel);
        ContentMerger.addTo(channel);
        FramingOverheadGuard.addTo(channel, 0);
        StatusLineGuard.addTo(channel);
        heads.addToClient(channel);
    }

    /**
     * Adds the handlers of a caller's connection, once its protocol is agreed on.
     *
     * @param channel the connection
     * @param maximumHeaderBytes the maximum size of a request's head
     * @param heads the limits on the heads of requests
     * @param refusal how a request beyond the limits is refused
     */
    static void addToCaller(Channel channel, int maximumHeaderBytes, HeadLimits heads, HeadRefusal.Answering refusal) {
        AgreedProtocol.guard(channel, new AgreedProtocol.CallerGuards(maximumHeaderBytes, heads, refusal));
    }
}
