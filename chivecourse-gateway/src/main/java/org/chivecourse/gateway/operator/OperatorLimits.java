package org.chivecourse.gateway.operator;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.chivecourse.transport.connection.ConnectionLimit;
import org.chivecourse.transport.head.HeadLimits;
import org.chivecourse.transport.http.HttpSettings;
import org.chivecourse.transport.memory.HeldDocuments;

/**
 * What operators may make a gateway hold, apart from what callers may.
 *
 * @param connections the limit on their connections
 * @param heads the limits on the heads of their requests
 * @param documents the documents that are being written to them
 */
public record OperatorLimits(ConnectionLimit connections, HeadLimits heads, HeldDocuments documents) {

    /** The part of the process's memory that documents may take: a thirty-second, or one document. */
    private static final int PARTS_FOR_DOCUMENTS = 32;

    /**
     * Returns the limits of a process.
     *
     * @param processBytes the memory that the process was given, in bytes
     * @param settings the limits on HTTP messages
     * @param connections the limit on operators' connections
     * @param metrics the registry of all metrics
     * @return the limits
     */
    public static OperatorLimits ofProcess(
            long processBytes, HttpSettings settings, ConnectionLimit connections, MetricRegistry metrics) {
        OperatorLimits limits = new OperatorLimits(
                connections,
                HeadLimits.ofOperators(processBytes, settings.maximumHeaderLines(), settings.headTimeout(), metrics),
                new HeldDocuments(processBytes / PARTS_FOR_DOCUMENTS));
        metrics.register("operators.held-bytes", (Gauge<Long>) limits.documents::heldBytes);
        return limits;
    }
}
