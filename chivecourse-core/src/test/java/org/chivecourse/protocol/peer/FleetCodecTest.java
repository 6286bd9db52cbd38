package org.chivecourse.protocol.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.state.fleet.Crash;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.fleet.Member;
import org.chivecourse.state.fleet.Observation;
import org.chivecourse.state.fleet.ObservationKind;
import org.chivecourse.state.publication.PublishedItem;
import org.chivecourse.state.server.LoadReport;
import org.junit.jupiter.api.Test;

class FleetCodecTest {

    private static final long MILLISECOND = 1_000_000L;

    private static final long NOW = 5_000 * MILLISECOND;

    private static final Member SENDER = new Member("front-stellenbosch-12", "10.128.200.110:17166", "stellenbosch");

    private final PeerCodec codec = new PeerCodec(Seal.Disabled.INSTANCE);

    private static FleetDigest digest(int members, List<Observation> sightings, FleetDigest.Changes changes) {
        List<Member> named = new ArrayList<>();
        for (int number = 0; number < members; number++) {
            named.add(new Member("front-stellenbosch-" + number, "10.128.200." + number + ":17166", "stellenbosch"));
        }
        List<Crash> crashes = new ArrayList<>();
        Map<Long, Integer> convictions = new HashMap<>();
        for (int number = 0; number < 8; number++) {
            crashes.add(new Crash(Long.MAX_VALUE - number, "i-7f3a91c2d" + number));
            convictions.put(Long.MIN_VALUE + number, 600);
        }
        return new FleetDigest(
                SENDER,
                Long.MAX_VALUE,
                1_000_000,
                false,
                true,
                new FleetDigest.PublisherStatus(1_000_000, true, true, 3000),
                named,
                sightings,
                crashes,
                convictions,
                changes,
                140,
                42);
    }

    private FleetDigest read(byte[] datagram, long now) throws PeerMessageException {
        return ((Event.FleetDigestArrived) codec.read(datagram, "sender", now)).digest();
    }

    @Test
    void whatIsPrintedIsRead() throws Exception {
        List<Observation> sightings = List.of(
                new Observation("i-1", ObservationKind.LOAD, new LoadReport(3, 4, 400), NOW - 20 * MILLISECOND),
                new Observation("i-2", ObservationKind.UNREACHABLE, null, NOW),
                Observation.ofDispatched("i-3", 2, NOW - 5 * MILLISECOND));
        FleetDigest.Changes changes = new FleetDigest.Changes(4, 6, List.of(PublishedItem.removal("gone", 5)));
        FleetDigest digest = digest(3, sightings, changes);
        assertThat(read(codec.print(digest, NOW), NOW), equalTo(digest));
    }

    @Test
    void theAgeOfASightingTravelsAndNotItsTime() throws Exception {
        Observation seen = new Observation("i-1", ObservationKind.FAILURE, null, NOW - 70 * MILLISECOND);
        byte[] datagram = codec.print(digest(0, List.of(seen), null), NOW);
        long elsewhere = 900_000 * MILLISECOND;
        assertThat(read(datagram, elsewhere).observations().get(0).observedAt(), equalTo(elsewhere - 70 * MILLISECOND));
    }

    @Test
    void theLargestDigestsFitADatagram() {
        List<Observation> sightings = new ArrayList<>();
        for (int number = 0; number < 24; number++) {
            sightings.add(new Observation(
                    "i-7f3a91c2" + number, ObservationKind.LOAD, new LoadReport(12, 4, 1000), NOW - 900 * MILLISECOND));
        }
        int withSightings = codec.print(digest(2, sightings, null), NOW).length;
        int withMembers = codec.print(digest(16, List.of(), null), NOW).length;
        assertThat(withSightings, lessThanOrEqualTo(PeerCodec.LARGEST_DATAGRAM_BYTES));
        assertThat(withMembers, lessThanOrEqualTo(PeerCodec.LARGEST_DATAGRAM_BYTES));
    }

    @Property(tries = 500)
    void aDatagramThatWasChangedIsReadOrRefused(@ForAll int place, @ForAll byte value) {
        byte[] datagram = codec.print(digest(3, List.of(), null), NOW);
        datagram[Math.floorMod(place, datagram.length)] = value;
        try {
            codec.read(datagram, "sender", NOW);
        } catch (PeerMessageException exception) {
            assertThat(exception.getMessage().isEmpty(), equalTo(false));
        }
    }

    @Test
    void aSenderWithoutAnAddressIsRefused() {
        FleetDigest digest = digest(0, List.of(), null);
        FleetDigest nameless = new FleetDigest(
                new Member("host", "nowhere", "a"),
                1,
                1,
                false,
                false,
                digest.publisherStatus(),
                List.of(),
                List.of(),
                List.of(),
                Map.of(),
                null,
                1,
                1);
        byte[] datagram = codec.print(nameless, NOW);
        assertThrows(PeerMessageException.class, () -> codec.read(datagram, "sender", NOW));
    }
}
