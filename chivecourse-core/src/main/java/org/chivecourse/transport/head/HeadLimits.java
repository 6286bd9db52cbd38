package org.chivecourse.transport.head;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import java.time.Duration;
import java.util.function.Consumer;
import org.chivecourse.coordination.decision.Decision;

/** The limits on the heads that arrive on a kind of connections: the lines of each, and the memory of all together. */
public final class HeadLimits {

    /** The part of the process's memory that the heads of requests may take: a quarter. */
    private static final int PARTS_FOR_REQUESTS = 4;

    /** The part of the process's memory that the heads of answers may take: an eighth. */
    private static final int PARTS_FOR_ANSWERS = 8;

    /** The part of the process's memory that the heads of operators' requests may take: a thirty-second. */
    private static final int PARTS_FOR_OPERATORS = 32;

    /** The memory that heads may take together. */
    private final HeadBudget budget;

    /** The heads that have begun to arrive and not ended. */
    private final UnfinishedHeads unfinished;

    /** The time within which a head that has begun to arrive has to end. */
    private final Duration timeout;

    /** The largest number of lines of one head. */
    private final int maximumLines;

    /** Counts the heads that were refused. */
    private final Counter refused;

    /** Creates limits of which nothing is used. */
    private HeadLimits(long maximumBytes, int maximumLines, Duration timeout, Counter refused) {
        budget = new HeadBudget(maximumBytes);
        unfinished = new UnfinishedHeads(budget);
        this.timeout = timeout;
        this.maximumLines = maximumLines;
        this.refused = refused;
    }

    /**
     * Returns the limits on the heads of requests, which callers and other gateways share.
     *
     * @param processBytes the memory that the process was given, in bytes
     * @param maximumLines the largest number of lines of one head
     * @param timeout the time within which a head that has begun to arrive has to end
     * @param metrics the registry of all metrics
     * @return the limits
     */
    public static HeadLimits ofRequests(long processBytes, int maximumLines, Duration timeout, MetricRegistry metrics) {
        return registered("heads.requests", processBytes / PARTS_FOR_REQUESTS, maximumLines, timeout, metrics);
    }

    /**
     * Returns the limits on the heads of operators' requests, which take nothing from those of callers.
     *
     * @param processBytes the memory that the process was given, in bytes
     * @param maximumLines the largest number of lines of one head
     * @param timeout the time within which a head that has begun to arrive has to end
     * @param metrics the registry of all metrics
     * @return the limits
     */
    public static HeadLimits ofOperators(
            long processBytes, int maximumLines, Duration timeout, MetricRegistry metrics) {
        return registered("heads.operators", processBytes / PARTS_FOR_OPERATORS, maximumLines, timeout, metrics);
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
        return registered("heads.answers", processBytes / PARTS_FOR_ANSWERS, maximumLines, Duration.ZERO, metrics);
    }

    /** Returns limits with their metrics. */
    private static HeadLimits registered(
            String name, long maximumBytes, int maximumLines, Duration timeout, MetricRegistry metrics) {
        HeadLimits limits = new HeadLimits(maximumBytes, maximumLines, timeout, metrics.counter(name + ".refused"));
        metrics.register(name + ".held-bytes", (Gauge<Long>) limits.budget::reservedBytes);
        return limits;
    }

    /**
     * Applies these limits to the requests of a connection with HTTP/1.1.
     *
     * @param channel the connection
     * @param refusal how a head beyond the limits is refused
     */
    public void addToServer(Channel channel, HeadRefusal refusal) {
        HeadMemoryGuard.addTo(channel, this, refusal, true);
    }

    /**
     * Applies these limits to the requests of a connection with HTTP/2, whose streams are refused beyond them.
     *
     * @param channel the connection
     * @param log records each refusal
     */
    public void addToStreams(Channel channel, Consumer<Decision.Refusal> log) {
        StreamMemoryGuard.addTo(channel, this, log);
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

    /** Returns the heads that have begun to arrive and not ended. */
    UnfinishedHeads unfinished() {
        return unfinished;
    }

    /** Returns the time within which a head that has begun to arrive has to end. */
    Duration timeout() {
        return timeout;
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
