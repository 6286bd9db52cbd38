package org.chivecourse.transport.http;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import org.chivecourse.coordination.transfer.LinkShare;
import org.chivecourse.transport.head.HeadLimits;
import reactor.core.publisher.Flux;

/**
 * The memory and the share of the link that exchanges may take together, whatever callers and backend servers do.
 *
 * @param buffers the memory of the bodies that are kept whole
 * @param stalledTransfers the bodies whose recipient does not read
 * @param link the share of the link that large bodies have
 * @param requestHeads the limits on the heads of requests
 * @param answerHeads the limits on the heads of backend servers' answers
 */
public record ExchangeMemory(
        BufferBudget buffers,
        StalledTransfers stalledTransfers,
        LinkShare link,
        HeadLimits requestHeads,
        HeadLimits answerHeads) {

    /** The part of the memory that the process was given for each kind of bodies: a quarter. */
    private static final int PARTS = 4;

    /**
     * Returns the memory of a process.
     *
     * @param maximumBytes the memory that the process was given, in bytes
     * @param link the share of the link that large bodies have
     * @param settings the limits on single messages
     * @param metrics records transfers that were ended
     * @param registry the registry of all metrics
     * @return the memory that its exchanges may hold
     */
    public static ExchangeMemory ofProcess(
            long maximumBytes,
            LinkShare link,
            HttpSettings settings,
            ExchangeMetrics metrics,
            MetricRegistry registry) {
        ExchangeMemory memory = new ExchangeMemory(
                new BufferBudget(maximumBytes / PARTS),
                new StalledTransfers(maximumBytes / PARTS, metrics),
                link,
                HeadLimits.ofRequests(maximumBytes, settings.maximumHeaderLines(), settings.headTimeout(), registry),
                HeadLimits.ofAnswers(maximumBytes, settings.maximumHeaderLines(), registry));
        registry.register("calls.held-bytes", (Gauge<Long>) memory::heldBytes);
        registry.register("calls.large-body-bytes", (Gauge<Long>) link::openBytes);
        return memory;
    }

    /** Returns the number of bytes of bodies that are held now, which metrics report. */
    private long heldBytes() {
        return buffers.reservedBytes() + stalledTransfers.heldBytes();
    }

    /**
     * Returns a body that is forwarded no faster than the connection that it is written to accepts it.
     *
     * @param body the buffers
     * @param destination the connection
     * @return the buffers, followed by an error if the connection has been closed, or accepts nothing while the memory
     *     is needed for others
     */
    Flux<ByteBuf> pace(Flux<ByteBuf> body, Channel destination) {
        return new PacedBody(body, destination, stalledTransfers, link);
    }
}
