package org.chivecourse.transport.crossing;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/** Counts the bytes that this gateway exchanges with other data centres, by cause and direction. */
public final class CrossingMetrics {

    /** The name of this gateway's data centre, empty if it is not known. */
    private final String ownDataCentre;

    /** The bytes sent, by cause. */
    private final Map<CrossingCause, Counter> sentBytes = new EnumMap<>(CrossingCause.class);

    /** The bytes received, by cause. */
    private final Map<CrossingCause, Counter> receivedBytes = new EnumMap<>(CrossingCause.class);

    /** The connections opened to backend servers and gateways of other data centres. */
    private final Counter connections;

    /**
     * Creates the metrics and registers them.
     *
     * @param registry the registry of all metrics
     * @param ownDataCentre the name of this gateway's data centre, empty if it is not known
     */
    public CrossingMetrics(MetricRegistry registry, String ownDataCentre) {
        this.ownDataCentre = ownDataCentre;
        connections = registry.counter("crossing.connections");
        for (CrossingCause cause : CrossingCause.values()) {
            sentBytes.put(cause, registry.counter("crossing." + cause.label() + ".bytes-sent"));
            receivedBytes.put(cause, registry.counter("crossing." + cause.label() + ".bytes-received"));
        }
    }

    /**
     * Returns whether what is exchanged with a data centre crosses between two.
     *
     * @param dataCentre the name of the data centre, empty if it is not known
     * @return {@code false} for this gateway's own data centre, and while either of them is not known
     */
    public boolean crossesTo(String dataCentre) {
        return !ownDataCentre.isEmpty() && !dataCentre.isEmpty() && !dataCentre.equals(ownDataCentre);
    }

    /** Records bytes that are sent to another data centre. */
    public void recordSent(CrossingCause cause, long bytes) {
        sentBytes.get(cause).inc(bytes);
    }

    /** Records bytes that were received from another data centre. */
    public void recordReceived(CrossingCause cause, long bytes) {
        receivedBytes.get(cause).inc(bytes);
    }

    /** Records a connection that is opened to another data centre. */
    void recordConnection() {
        connections.inc();
    }

    /**
     * Returns the number of bytes of each cause with any.
     *
     * @return the bytes sent and received, by the name of the cause
     */
    public Map<String, Bytes> bytes() {
        Map<String, Bytes> bytes = new TreeMap<>();
        for (CrossingCause cause : CrossingCause.values()) {
            Bytes counted = new Bytes(
                    sentBytes.get(cause).getCount(), receivedBytes.get(cause).getCount());
            if (counted.sent() + counted.received() > 0) {
                bytes.put(cause.label(), counted);
            }
        }
        return bytes;
    }

    /** Returns the number of connections that were opened to other data centres. */
    public long connections() {
        return connections.getCount();
    }

    /**
     * The bytes of one cause.
     *
     * @param sent the number of bytes sent to other data centres
     * @param received the number of bytes received from other data centres
     */
    public record Bytes(long sent, long received) {}
}
