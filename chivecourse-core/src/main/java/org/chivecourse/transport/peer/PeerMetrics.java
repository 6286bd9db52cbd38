package org.chivecourse.transport.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Counts what gateways exchange. */
public final class PeerMetrics {

    /** The bytes of datagrams sent. */
    private final Counter bytesSent;

    /** The bytes of datagrams received. */
    private final Counter bytesReceived;

    /** The datagrams that could not be used. */
    private final Counter dropped;

    /** The bytes of configurations sent. */
    private final Counter configurationBytes;

    /**
     * Creates metrics.
     *
     * @param registry holds the metrics
     */
    public PeerMetrics(MetricRegistry registry) {
        bytesSent = registry.counter("peers.datagram-bytes-sent");
        bytesReceived = registry.counter("peers.datagram-bytes-received");
        dropped = registry.counter("peers.datagrams-dropped");
        configurationBytes = registry.counter("peers.configuration-bytes-sent");
    }

    /**
     * Records a datagram that is sent.
     *
     * @param bytes its size
     */
    void sent(int bytes) {
        bytesSent.inc(bytes);
    }

    /**
     * Records a datagram that arrived.
     *
     * @param bytes its size
     */
    void received(int bytes) {
        bytesReceived.inc(bytes);
    }

    /**
     * Records a datagram that could not be used.
     */
    void dropped() {
        dropped.inc();
    }

    /**
     * Records a configuration that is sent.
     *
     * @param bytes its size
     */
    void configurationSent(int bytes) {
        configurationBytes.inc(bytes);
    }
}
