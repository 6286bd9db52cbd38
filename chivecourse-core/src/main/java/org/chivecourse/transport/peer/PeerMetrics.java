package org.chivecourse.transport.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.transport.crossing.CrossingCause;
import org.chivecourse.transport.crossing.CrossingMeter;
import org.chivecourse.transport.crossing.CrossingMetrics;
import org.chivecourse.transport.crossing.PeerPlaces;

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

    /** Counts the messages about slots. */
    private final ReservationMetrics reservations;

    /** Counts the bytes that cross between data centres. */
    private final CrossingMetrics crossings;

    /** The data centres of other gateways. */
    private final PeerPlaces places = new PeerPlaces();

    /**
     * Creates the metrics of a gateway whose data centre is not known and registers them.
     *
     * @param registry the registry of all metrics
     */
    public PeerMetrics(MetricRegistry registry) {
        this(registry, new CrossingMetrics(registry, ""));
    }

    /**
     * Creates the metrics and registers them.
     *
     * @param registry the registry of all metrics
     * @param crossings counts the bytes that cross between data centres
     */
    public PeerMetrics(MetricRegistry registry, CrossingMetrics crossings) {
        this.crossings = crossings;
        reservations = new ReservationMetrics(registry);
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

    /**
     * Records a digest that is sent to another data centre.
     *
     * @param send the decision to send it
     * @param recipient the address of one of the recipients
     * @param bytes the size of the datagram
     */
    void recordCrossing(Decision.SendFleetDigest send, String recipient, int bytes) {
        if (crossings.crossesTo(places.dataCentre(recipient))) {
            crossings.recordSent(CrossingCause.of(send.digest()), bytes);
        }
    }

    /** Records a message about slots that is sent to another gateway. */
    void recordSlotMessage(Decision decision) {
        reservations.recordSent(decision);
    }

    /**
     * Records a message that was received, and the bytes of a digest from another data centre, and where its sender is.
     *
     * @param event the event for the datagram
     * @param bytes the size of the datagram
     */
    void recordArrival(Event event, int bytes) {
        reservations.recordReceived(event);
        if (event instanceof Event.FleetDigestArrived arrived) {
            places.learn(arrived.digest().sender());
            if (crossings.crossesTo(arrived.digest().sender().dataCentre())) {
                crossings.recordReceived(CrossingCause.of(arrived.digest()), bytes);
            }
        }
    }

    /**
     * Counts the bytes of published items on a connection if it crosses to another data centre.
     *
     * @param channel the connection
     * @param address the address of the other gateway, with a port
     */
    void measure(Channel channel, String address) {
        CrossingMeter.addTo(channel, places.dataCentre(address), CrossingCause.PUBLICATION, crossings);
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
