package org.chivecourse.transport.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Counts what gateways exchange. */
public final class PeerMetrics {

    /** The bytes of datagrams sent. */
    private final Counter datagramBytesSent;

    /** The bytes of datagrams received. */
    private final Counter datagramBytesReceived;

    /** The datagrams that could not be used. */
    private final Counter datagramsDropped;

    /** The bytes of configurations sent. */
    private final Counter configurationBytesSent;

    /**
     * Creates metrics.
     *
     * @param registry holds the metrics
     */
    public PeerMetrics(MetricRegistry registry) {
        datagramBytesSent = registry.counter("peers.datagram-bytes-sent");
        datagramBytesReceived = registry.counter("peers.datagram-bytes-received");
        datagramsDropped = registry.counter("peers.datagrams-dropped");
        configurationBytesSent = registry.counter("peers.configuration-bytes-sent");
    }

    /**
     * Records a datagram that is sent.
     *
     * @param bytes its size
     */
    void recordDatagramSent(int bytes) {
        datagramBytesSent.inc(bytes);
    }

    /**
     * Records a datagram that arrived.
     *
     * @param bytes its size
     */
    void recordDatagramReceived(int bytes) {
        datagramBytesReceived.inc(bytes);
    }

    /**
     * Records a datagram that could not be used.
     */
    void recordDropped() {
        datagramsDropped.inc();
    }

    /**
     * Records a configuration that is sent.
     *
     * @param bytes its size
     */
    void recordConfigurationSent(int bytes) {
        configurationBytesSent.inc(bytes);
    }
}
