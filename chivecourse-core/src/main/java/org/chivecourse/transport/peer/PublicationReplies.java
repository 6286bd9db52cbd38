package org.chivecourse.transport.peer;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.chivecourse.coordination.publication.PublishedState;
import org.chivecourse.protocol.peer.Deflation;
import org.chivecourse.protocol.peer.PublicationCodec;
import org.chivecourse.protocol.peer.generated.ConfigurationReply;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.transport.driver.CoreDriver;

/**
 * Composes replies with published items to other gateways, a few at a time, so that they do not fill the link of this
 * host. Compressed replies are kept, since many gateways ask for the same items.
 */
final class PublicationReplies {

    /** The maximum number of connections on which replies are being sent. */
    private static final int MAXIMUM_CONCURRENT_REPLIES = 4;

    /** The maximum number of compressed replies that are kept. */
    private static final int MAXIMUM_KEPT_REPLIES = 4;

    /** The driver of the decision core. */
    private final CoreDriver driver;

    /** The number of connections on which replies are being sent. */
    private final AtomicInteger concurrentReplies = new AtomicInteger();

    /** The latest compressed replies by the revisions that they connect, oldest first. */
    private final Map<Range, ConfigurationReply> kept = new LinkedHashMap<>();

    /**
     * Creates a composer of replies.
     *
     * @param driver the driver of the decision core
     */
    PublicationReplies(CoreDriver driver) {
        this.driver = driver;
    }

    /**
     * Returns the reply to a request, which says that this gateway is busy if it sends as many as it may.
     *
     * @param after the revision after which items are requested
     * @param channel the connection of the request, on which the reply is sent until it is closed
     * @return the reply
     */
    ConfigurationReply compactReply(long after, Channel channel) {
        return begin(channel) ? keptReply(after) : busyReply();
    }

    /**
     * Returns a reply that is not compressed, for gateways that do not accept others. To them, the one that says that
     * this gateway is busy holds no items.
     *
     * @param after the revision after which items are requested
     * @param channel the connection of the request, on which the reply is sent until it is closed
     * @return the reply
     */
    ConfigurationReply plainReply(long after, Channel channel) {
        if (!begin(channel)) {
            return busyReply();
        }
        FleetDigest.Changes changes = driver.read(core -> core.publishedState()
                .changesAfter(after)
                .withRetainedConfiguration(core.publishedState().retainedConfiguration()));
        return ConfigurationReply.newBuilder()
                .setPublication(PublicationCodec.encode(changes))
                .build();
    }

    /**
     * Counts a reply until its connection is closed.
     *
     * @return {@code false} if as many are being sent as there may be
     */
    private boolean begin(Channel channel) {
        if (concurrentReplies.incrementAndGet() > MAXIMUM_CONCURRENT_REPLIES) {
            concurrentReplies.decrementAndGet();
            return false;
        }
        channel.closeFuture().addListener(closed -> concurrentReplies.decrementAndGet());
        return true;
    }

    /** Returns the reply that says that this gateway is busy. */
    private static ConfigurationReply busyReply() {
        return ConfigurationReply.newBuilder().setBusy(true).build();
    }

    /** Returns the compressed reply for a revision, which is composed unless it is kept. */
    private synchronized ConfigurationReply keptReply(long after) {
        Range range = driver.read(core -> Range.of(after, core.publishedState()));
        ConfigurationReply reply = kept.get(range);
        return reply != null ? reply : composeReply(after);
    }

    /** Composes and keeps the compressed reply for a revision. */
    private ConfigurationReply composeReply(long after) {
        Composed composed = driver.read(core -> Composed.of(after, core.publishedState()));
        byte[] deflated =
                Deflation.deflate(PublicationCodec.encode(composed.changes).toByteArray());
        ConfigurationReply reply = ConfigurationReply.newBuilder()
                .setDeflatedPublication(ByteString.copyFrom(deflated))
                .build();
        Iterator<Range> oldest = kept.keySet().iterator();
        if (kept.size() >= MAXIMUM_KEPT_REPLIES) {
            oldest.next();
            oldest.remove();
        }
        kept.put(composed.range, reply);
        return reply;
    }

    /**
     * What a reply holds: all changes between two revisions, and a configuration that the publisher lost.
     *
     * @param after the revision after which the changes follow
     * @param revision the revision up to which they are complete
     * @param retainedConfiguration the revision of the configuration, zero for none
     */
    private record Range(long after, long revision, long retainedConfiguration) {

        /** Returns what a reply with the changes after a revision holds now. */
        private static Range of(long after, PublishedState publishedState) {
            return new Range(after, publishedState.revision(), publishedState.retainedConfigurationRevision());
        }
    }

    /**
     * The content of a reply.
     *
     * @param range what the reply holds
     * @param changes the changes, with the configuration that the publisher lost
     */
    private record Composed(Range range, FleetDigest.Changes changes) {

        /** Composes the content of a reply with the changes after a revision. */
        private static Composed of(long after, PublishedState publishedState) {
            return new Composed(
                    Range.of(after, publishedState),
                    publishedState
                            .compactChangesAfter(after)
                            .withRetainedConfiguration(publishedState.retainedConfiguration()));
        }
    }
}
