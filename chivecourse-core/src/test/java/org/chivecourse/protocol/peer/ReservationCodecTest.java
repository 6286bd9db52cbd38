package org.chivecourse.protocol.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.protocol.peer.generated.PeerMessage;
import org.chivecourse.protocol.peer.generated.SlotKeyMessage;
import org.chivecourse.protocol.peer.generated.SlotReleaseMessage;
import org.chivecourse.protocol.peer.generated.SlotReplyMessage;
import org.chivecourse.protocol.peer.generated.SlotRequestMessage;
import org.chivecourse.state.reservation.SlotKey;
import org.chivecourse.state.reservation.SlotOutcome;
import org.chivecourse.state.reservation.SlotRelease;
import org.chivecourse.state.reservation.SlotReply;
import org.chivecourse.state.reservation.SlotRequest;
import org.chivecourse.state.reservation.SlotVerdict;
import org.chivecourse.state.server.LoadReport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against messages about slots that are read differently from how they were written. */
class ReservationCodecTest {

    private static final String SENDER = "10.0.0.1:7000";

    private static final SlotKey KEY = new SlotKey("host-1", -5, 1L << 40);

    private static final SlotKeyMessage KEY_MESSAGE =
            SlotKeyMessage.newBuilder().setName("host-1").build();

    private static final int UNKNOWN_NUMBER = 99;

    private final PeerCodec codec = new PeerCodec(MessageAuthenticator.Disabled.INSTANCE);

    private Event decode(byte[] datagram) throws PeerMessageException {
        return codec.decode(datagram, SENDER, 0);
    }

    @Test
    void decodesRequestThatWasEncoded() throws Exception {
        SlotRequest request = new SlotRequest(
                KEY, "jobs", "dc-1", 3, "lookups", 2, 4_000, 5_000, 6_000, true, List.of("i-1"), SENDER, 1);
        assertThat(decode(codec.encode(request)), equalTo(new Event.SlotRequested(request, SENDER)));
    }

    @ParameterizedTest
    @EnumSource(SlotVerdict.class)
    void decodesReplyThatWasEncoded(SlotVerdict verdict) throws Exception {
        SlotReply reply = new SlotReply(KEY, verdict, "i-1", 7);
        assertThat(decode(codec.encode(reply)), equalTo(new Event.SlotReplied(reply, SENDER)));
    }

    @ParameterizedTest
    @EnumSource(SlotOutcome.class)
    void decodesReleaseThatWasEncoded(SlotOutcome outcome) throws Exception {
        SlotRelease release = new SlotRelease(KEY, outcome, new LoadReport(3, 4, 150));
        assertThat(decode(codec.encode(release)), equalTo(new Event.SlotReleased(release)));
        SlotRelease unreported = new SlotRelease(KEY, outcome, null);
        assertThat(decode(codec.encode(unreported)), equalTo(new Event.SlotReleased(unreported)));
    }

    /** A later version may define further values. */
    @Test
    void readsUnknownValuesAsNoHelp() throws Exception {
        SlotReplyMessage reply = SlotReplyMessage.newBuilder()
                .setRequester(KEY_MESSAGE)
                .setVerdict(UNKNOWN_NUMBER)
                .build();
        SlotReleaseMessage release = SlotReleaseMessage.newBuilder()
                .setRequester(KEY_MESSAGE)
                .setOutcome(UNKNOWN_NUMBER)
                .build();
        assertThat(ReservationCodec.decode(reply).verdict(), equalTo(SlotVerdict.NOT_ALLOCATED));
        assertThat(ReservationCodec.decode(release).outcome(), equalTo(SlotOutcome.CANCELLED));
    }

    @Test
    void rejectsMessagesWithoutNames() {
        byte[] unnamed = PeerMessage.newBuilder()
                .setVersion(PeerCodec.VERSION)
                .setSlotRequest(SlotRequestMessage.newBuilder().setRequester(KEY_MESSAGE))
                .build()
                .toByteArray();
        assertThrows(PeerMessageException.class, () -> decode(unnamed));
        SlotReleaseMessage unsent = SlotReleaseMessage.newBuilder().build();
        assertThrows(PeerMessageException.class, () -> ReservationCodec.decode(unsent));
    }

    @Test
    void rejectsLoadsOutOfRange() {
        SlotReleaseMessage release = SlotReleaseMessage.newBuilder()
                .setRequester(KEY_MESSAGE)
                .setReported(true)
                .setInFlight(-1)
                .setSlots(1)
                .build();
        assertThrows(PeerMessageException.class, () -> ReservationCodec.decode(release));
    }
}
