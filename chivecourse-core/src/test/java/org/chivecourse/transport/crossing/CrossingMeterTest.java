package org.chivecourse.transport.crossing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.aMapWithSize;
import static org.hamcrest.Matchers.equalTo;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.chivecourse.state.fleet.Member;
import org.junit.jupiter.api.Test;

/** Replays a few requests on one connection. Guards against bytes that are counted under another cause, or twice. */
class CrossingMeterTest {

    private final CrossingMetrics metrics = new CrossingMetrics(new MetricRegistry(), "dc-1");

    private static void exchange(EmbeddedChannel channel, int sent, int received) {
        channel.writeOutbound(Unpooled.wrappedBuffer(new byte[sent]));
        channel.writeInbound(Unpooled.wrappedBuffer(new byte[received]));
    }

    @Test
    void countsBytesUnderCauseOfLastExchange() {
        EmbeddedChannel channel = new EmbeddedChannel();
        CrossingMeter.addTo(channel, "dc-2", CrossingCause.CONNECTION, metrics);
        exchange(channel, 3, 0);
        CrossingMeter.begin(channel, CrossingCause.PROBE);
        exchange(channel, 100, 200);
        CrossingMeter.begin(channel, CrossingCause.REQUEST);
        exchange(channel, 50, 7000);
        exchange(channel, 0, 500);
        assertThat(metrics.connections(), equalTo(1L));
        assertThat(metrics.bytes().get("connection"), equalTo(new CrossingMetrics.Bytes(3, 0)));
        assertThat(metrics.bytes().get("probe"), equalTo(new CrossingMetrics.Bytes(100, 200)));
        assertThat(metrics.bytes().get("request"), equalTo(new CrossingMetrics.Bytes(50, 7500)));
    }

    @Test
    void countsNothingWithinDataCentreOrToUnknownOne() {
        for (String dataCentre : new String[] {"dc-1", ""}) {
            EmbeddedChannel channel = new EmbeddedChannel();
            CrossingMeter.addTo(channel, dataCentre, CrossingCause.REQUEST, metrics);
            CrossingMeter.begin(channel, CrossingCause.HEDGE);
            exchange(channel, 100, 200);
        }
        assertThat(metrics.connections(), equalTo(0L));
        assertThat(metrics.bytes(), aMapWithSize(0));
    }

    @Test
    void knowsPlaceOfConnectionThatPeerOpened() {
        PeerPlaces places = new PeerPlaces();
        places.learn(new Member("host-2", "10.0.2.7:7000", "dc-2"));
        assertThat(places.dataCentre("10.0.2.7:7000"), equalTo("dc-2"));
        assertThat(places.dataCentre("10.0.2.7:49152"), equalTo("dc-2"));
        assertThat(places.dataCentre("10.0.2.8:7000"), equalTo(""));
    }
}
