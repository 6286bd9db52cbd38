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
import org.chivecourse.protocol.peer.generated.PublicationReply;
import org.chivecourse.state.fleet.AnsweredRequest;
import org.chivecourse.state.fleet.Crash;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.fleet.LimitReport;
import org.chivecourse.state.fleet.Member;
import org.chivecourse.state.fleet.Observation;
import org.chivecourse.state.fleet.ObservationKind;
import org.chivecourse.state.fleet.Room;
import org.chivecourse.state.fleet.WarmUpReport;
import org.chivecourse.state.publication.PublicationRevision;
import org.chivecourse.state.publication.PublishedItem;
import org.chivecourse.state.server.LoadReport;
import org.chivecourse.state.server.RequestLimit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against fleet digests that change when they are encoded and decoded, that exceed the size of a datagram, or
 * that make the decoder fail with anything but a {@link PeerMessageException}.
 */
class FleetCodecTest {

    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

    private static final long NOW_NANOSECONDS = 5_000 * NANOSECONDS_PER_MILLISECOND;

    private static final Member SENDER = new Member("front-stellenbosch-12", "10.128.200.110:17166", "stellenbosch");

    private final PeerCodec codec = new PeerCodec(MessageAuthenticator.Disabled.INSTANCE);

    private static FleetDigest digest(int members, List<Observation> observations, FleetDigest.Changes changes) {
        return digest(members, 3, 0, observations, changes);
    }

    private static FleetDigest digest(
            int members, int suspicions, int limits, List<Observation> observations, FleetDigest.Changes changes) {
        List<Member> memberList = new ArrayList<>();
        for (int number = 0; number < members; number++) {
            memberList.add(
                    new Member("front-stellenbosch-" + number, "10.128.200." + number + ":17166", "stellenbosch"));
        }
        List<Crash> crashes = new ArrayList<>();
        List<AnsweredRequest> answeredRequests = new ArrayList<>();
        Map<Long, Integer> blockedRequests = new HashMap<>();
        for (int number = 0; number < suspicions; number++) {
            boolean possible = number >= suspicions / 2;
            crashes.add(new Crash(
                    Long.MAX_VALUE - number, "i-7f3a91c2d" + number + "/1772545767095", NOW_NANOSECONDS, possible));
            answeredRequests.add(new AnsweredRequest(
                    Long.MAX_VALUE / 2 - number, NOW_NANOSECONDS - 30 * NANOSECONDS_PER_MILLISECOND));
        }
        for (int number = 0; number < 8; number++) {
            blockedRequests.put(Long.MIN_VALUE + number, 600);
        }
        List<LimitReport> limitReports = new ArrayList<>();
        for (int number = 0; number < limits; number++) {
            limitReports.add(new LimitReport(
                    "i-7f3a91c2d" + number,
                    1_772_545_767_095L + 37 * number,
                    number == 0 ? RequestLimit.NONE : new RequestLimit(2.3 * number),
                    NOW_NANOSECONDS - 300 * number * NANOSECONDS_PER_MILLISECOND,
                    1000 * number));
        }
        List<WarmUpReport> warmUps = limitReports.stream()
                .map(report -> new WarmUpReport(
                        report.server(),
                        report.incarnation(),
                        report.dispatched() * NANOSECONDS_PER_MILLISECOND,
                        report.statedAt()))
                .toList();
        return new FleetDigest(
                SENDER,
                Long.MAX_VALUE,
                1_000_000,
                false,
                true,
                new FleetDigest.PublisherStatus(PublicationRevision.of(40, 1_000_000), true, true, 3000, 1_000_000),
                memberList,
                observations,
                crashes,
                answeredRequests,
                blockedRequests,
                changes,
                140,
                42,
                limitReports,
                warmUps,
                "10.128.200.1:17168");
    }

    private FleetDigest decode(byte[] datagram, long now) throws PeerMessageException {
        return ((Event.FleetDigestArrived) codec.decode(datagram, "sender", now)).digest();
    }

    @Test
    void decodesWhatWasEncoded() throws Exception {
        List<Observation> observations = List.of(
                new Observation(
                        "i-1",
                        ObservationKind.LOAD,
                        new LoadReport(3, 4, 400),
                        NOW_NANOSECONDS - 20 * NANOSECONDS_PER_MILLISECOND),
                new Observation("i-2", ObservationKind.UNREACHABLE, null, NOW_NANOSECONDS),
                Observation.ofDispatched("i-3", 2, NOW_NANOSECONDS - 5 * NANOSECONDS_PER_MILLISECOND));
        FleetDigest.Changes changes = new FleetDigest.Changes(4, 6, List.of(PublishedItem.removal("gone", 5)));
        FleetDigest digest = digest(3, 3, 6, observations, changes);
        assertThat(decode(codec.encode(digest, NOW_NANOSECONDS), NOW_NANOSECONDS), equalTo(digest));
    }

    /** The numbers are sent as before epochs were known, so that older gateways read them. */
    @Test
    void sendsEpochBesideNumbers() throws Exception {
        long revision = PublicationRevision.of(3, 6);
        PublishedItem retained = new PublishedItem("configuration", PublicationRevision.of(3, 4), new byte[] {1});
        FleetDigest.Changes changes = new FleetDigest.Changes(
                        PublicationRevision.of(3, 4),
                        revision,
                        List.of(PublishedItem.removal("gone", PublicationRevision.of(3, 5))))
                .withRetainedConfiguration(retained);
        PublicationReply message = PublicationCodec.encode(changes);
        FleetDigest.Changes decoded = PublicationCodec.decode(message);
        assertThat(message.getRevision(), equalTo(6L));
        assertThat(message.getItems(0).getRevision(), equalTo(5L));
        assertThat(decoded.after(), equalTo(changes.after()));
        assertThat(decoded.revision(), equalTo(revision));
        assertThat(decoded.items(), equalTo(changes.items()));
        assertThat(decoded.retainedConfiguration().value(), equalTo(retained.value()));
    }

    /** Older gateways send no epoch; what they have counts as older than anything of a later one. */
    @Test
    void messageWithoutEpochBelongsToEpochZero() throws Exception {
        PublicationReply message =
                PublicationReply.newBuilder().setAfter(4).setRevision(6).build();
        FleetDigest.Changes decoded = PublicationCodec.decode(message);
        assertThat(decoded.after(), equalTo(4L));
        assertThat(decoded.revision(), equalTo(6L));
        assertThat(decoded.revision() < PublicationRevision.of(1, 1), equalTo(true));
    }

    @Test
    void decodesRoomsAndNeeds() throws Exception {
        long observedAt = NOW_NANOSECONDS - 30 * NANOSECONDS_PER_MILLISECOND;
        FleetDigest digest = digest(1, List.of(), null)
                .withCrossings(List.of(new Room("jobs", 40, 31, 7, observedAt)), List.of("jobs", "users"));
        assertThat(decode(codec.encode(digest, NOW_NANOSECONDS), NOW_NANOSECONDS), equalTo(digest));
    }

    @Test
    void encodesAgeOfObservationInsteadOfTime() throws Exception {
        Observation observation = new Observation(
                "i-1", ObservationKind.FAILURE, null, NOW_NANOSECONDS - 70 * NANOSECONDS_PER_MILLISECOND);
        byte[] datagram = codec.encode(digest(0, List.of(observation), null), NOW_NANOSECONDS);
        long receiverNow = 900_000 * NANOSECONDS_PER_MILLISECOND;
        assertThat(
                decode(datagram, receiverNow).observations().get(0).observedAt(),
                equalTo(receiverNow - 70 * NANOSECONDS_PER_MILLISECOND));
    }

    @Test
    void largestDigestsFitInDatagram() {
        List<Observation> observations = new ArrayList<>();
        for (int number = 0; number < 24; number++) {
            observations.add(new Observation(
                    "i-7f3a91c2" + number,
                    ObservationKind.LOAD,
                    new LoadReport(12, 4, 1000),
                    NOW_NANOSECONDS - 900 * NANOSECONDS_PER_MILLISECOND));
        }
        int bytesWithObservations = codec.encode(digest(2, observations, null), NOW_NANOSECONDS).length;
        int bytesWithMembers = codec.encode(digest(16, List.of(), null), NOW_NANOSECONDS).length;
        int bytesWithLimits = codec.encode(digest(2, 3, 6, observations.subList(0, 12), null), NOW_NANOSECONDS).length;
        List<Room> rooms = new ArrayList<>();
        for (int number = 0; number < 16; number++) {
            rooms.add(new Room("service-with-a-name-" + number, 4000, 3000, 20_000, 0));
        }
        List<String> wanted = List.of("w".repeat(120));
        FleetDigest withRooms = digest(2, 0, 0, List.of(), null).withCrossings(rooms, wanted);
        int bytesWithRooms = codec.encode(withRooms, NOW_NANOSECONDS).length;
        FleetDigest withWanted =
                digest(2, 3, 6, observations.subList(0, 12), null).withCrossings(List.of(), wanted);
        int bytesWithWanted = codec.encode(withWanted, NOW_NANOSECONDS).length;
        FleetDigest withObservations = digest(2, observations, null).withCrossings(List.of(), wanted);
        int bytesWithBoth = codec.encode(withObservations, NOW_NANOSECONDS).length;
        assertThat(bytesWithRooms, lessThanOrEqualTo(PeerCodec.MAXIMUM_DATAGRAM_BYTES));
        assertThat(bytesWithWanted, lessThanOrEqualTo(PeerCodec.MAXIMUM_DATAGRAM_BYTES));
        assertThat(bytesWithBoth, lessThanOrEqualTo(PeerCodec.MAXIMUM_DATAGRAM_BYTES));
        int bytesWithSuspicions = codec.encode(digest(2, 8, 6, List.of(), null), NOW_NANOSECONDS).length;
        assertThat(bytesWithSuspicions, lessThanOrEqualTo(PeerCodec.MAXIMUM_DATAGRAM_BYTES));
        assertThat(bytesWithObservations, lessThanOrEqualTo(PeerCodec.MAXIMUM_DATAGRAM_BYTES));
        assertThat(bytesWithLimits, lessThanOrEqualTo(PeerCodec.MAXIMUM_DATAGRAM_BYTES));
        assertThat(bytesWithMembers, lessThanOrEqualTo(PeerCodec.MAXIMUM_DATAGRAM_BYTES));
    }

    @Property(tries = 500)
    void decodesOrRejectsCorruptedDatagram(@ForAll int position, @ForAll byte value) {
        byte[] datagram = codec.encode(digest(3, List.of(), null), NOW_NANOSECONDS);
        datagram[Math.floorMod(position, datagram.length)] = value;
        try {
            codec.decode(datagram, "sender", NOW_NANOSECONDS);
        } catch (PeerMessageException exception) {
            assertThat(exception.getMessage().isEmpty(), equalTo(false));
        }
    }

    @Test
    void rejectsSenderWithInvalidAddress() {
        byte[] datagram = codec.encode(digestFrom("nowhere", ""), NOW_NANOSECONDS);
        assertThrows(PeerMessageException.class, () -> codec.decode(datagram, "sender", NOW_NANOSECONDS));
    }

    /** Such an address would fail each time that this gateway sends a digest, forwards a call or pulls items. */
    @ParameterizedTest
    @ValueSource(
            strings = {"10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.999:80", "[::::]:80", "-:1"})
    void rejectsAddressThatCannotBeConnectedTo(String address) {
        byte[] ofSender = codec.encode(digestFrom(address, ""), NOW_NANOSECONDS);
        assertThrows(PeerMessageException.class, () -> codec.decode(ofSender, "sender", NOW_NANOSECONDS));
        byte[] ofForwarding = codec.encode(digestFrom("10.0.0.1:80", address), NOW_NANOSECONDS);
        assertThrows(PeerMessageException.class, () -> codec.decode(ofForwarding, "sender", NOW_NANOSECONDS));
    }

    private static FleetDigest digestFrom(String address, String forwardingAddress) {
        return new FleetDigest(
                new Member("host", address, "a"),
                1,
                1,
                false,
                false,
                digest(0, List.of(), null).publisherStatus(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                Map.of(),
                null,
                1,
                1,
                List.of(),
                List.of(),
                forwardingAddress);
    }
}
