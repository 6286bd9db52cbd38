package org.chivecourse.transport.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Counts the messages that gateways exchange. */
public final class PeerMetrics {

    /** The bytes of the datagrams sent. */
    private final Counter datagramBytesSent;

    /** The bytes of the datagrams received, including those that were dropped. */
    private final Counter datagramBytesReceived;

    /** The datagrams, and the requests for configurations and published items, that could not be used. */
    private final Counter datagramsDropped;

    /** The bytes of the replies sent with configurations and published items. */
    private final Counter configurationBytesSent;

    /**
     * Creates the metrics and registers them.
     *
     * @param registry the registry of all metrics
     */
    public PeerMetrics(MetricRegistry registry) {
        datagramBytesSent = registry.counter("peers.datagram-bytes-sent");
        datagramBytesReceived = registry.counter("peers.datagram-bytes-received");
        datagramsDropped = registry.counter("peers.datagrams-dropped");
        configurationBytesSent = registry.counter("peers.configuration-bytes-sent");
    }

    /**
     * Records that a datagram is sent.
     *
     * @param bytes the size of the datagram
     */
    void recordDatagramSent(int bytes) {
        datagramBytesSent.inc(bytes);
    }

    /**
     * Records that a datagram was received.
     *
     * @param bytes the size of the datagram
     */
    void recordDatagramReceived(int bytes) {
        datagramBytesReceived.inc(bytes);
    }

    /** Records that a datagram or a request could not be used. */
    void recordDropped() {
        datagramsDropped.inc();
    }

    /**
     * Records that a reply with a configuration or published items is sent.
     *
     * @param bytes the size of the reply
     */
    void recordConfigurationSent(int bytes) {
        configurationBytesSent.inc(bytes);
    }
}
