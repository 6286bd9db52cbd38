package org.chivecourse.transport.head;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;

/** The limits on the heads that arrive on a kind of connections: the lines of each, and the memory of all together. */
public final class HeadLimits {

    /** The part of the process's memory that the heads of requests may take: a quarter. */
    private static final int PARTS_FOR_REQUESTS = 4;

    /** The part of the process's memory that the heads of answers may take: an eighth. */
    private static final int PARTS_FOR_ANSWERS = 8;

    /** The memory that heads may take together. */
    private final HeadBudget budget;

    /** The largest number of lines of one head. */
    private final int maximumLines;

    /** Counts the heads that were refused. */
    private final Counter refused;

    /** Creates limits of which nothing is used. */
    private HeadLimits(long maximumBytes, int maximumLines, Counter refused) {
        budget = new HeadBudget(maximumBytes);
        this.maximumLines = maximumLines;
        this.refused = refused;
    }

    /**
     * Returns the limits on the heads of requests, which callers, other gateways and operators share.
     *
     * @param processBytes the memory that the process was given, in bytes
     * @param maximumLines the largest number of lines of one head
     * @param metrics the registry of all metrics
     * @return the limits
     */
    public static HeadLimits ofRequests(long processBytes, int maximumLines, MetricRegistry metrics) {
        return registered("heads.requests", processBytes / PARTS_FOR_REQUESTS, maximumLines, metrics);
    }

    /**
     * Returns the limits on the heads of backend servers' answers.
     *
     * @param processBytes the memory that the process was given, in bytes
     * @param maximumLines the largest number of lines of one head
     * @param metrics the registry of all metrics
     * @return the limits
     */
    public static HeadLimits ofAnswers(long processBytes, int maximumLines, MetricRegistry metrics) {
        return registered("heads.answers", processBytes / PARTS_FOR_ANSWERS, maximumLines, metrics);
    }

    /** Returns limits with their metrics. */
    private static HeadLimits registered(String name, long maximumBytes, int maximumLines, MetricRegistry metrics) {
        HeadLimits limits = new HeadLimits(maximumBytes, maximumLines, metrics.counter(name + ".refused"));
        metrics.register(name + ".held-bytes", (Gauge<Long>) limits.budget::reservedBytes);
        return limits;
    }

    /**
     * Applies these limits to the requests of a connection.
     *
     * @param channel the connection
     * @param refusal how a head beyond the limits is refused
     */
    public void addToServer(Channel channel, HeadRefusal refusal) {
        HeadMemoryGuard.addTo(channel, this, refusal, true);
    }

    /**
     * Applies these limits to the answers on a connection, which is closed beyond them.
     *
     * @param channel the connection
     */
    public void addToClient(Channel channel) {
        HeadMemoryGuard.addTo(channel, this, HeadRefusal.Closing.INSTANCE, false);
    }

    /** Returns the memory that heads may take together. */
    HeadBudget budget() {
        return budget;
    }

    /** Returns the largest number of lines of one head. */
    int maximumLines() {
        return maximumLines;
    }

    /** Records that a head was refused. */
    void recordRefusal() {
        refused.inc();
    }
}
