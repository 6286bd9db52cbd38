package org.chivecourse.protocol.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.protocol.peer.generated.DigestMessage;
import org.chivecourse.protocol.peer.generated.PeerMessage;
import org.chivecourse.state.key.KeyQuery;
import org.chivecourse.state.key.KeyReply;
import org.chivecourse.state.key.KeyVerdict;
import org.chivecourse.state.peer.PeerDigest;
import org.junit.jupiter.api.Test;

/**
 * Guards against datagrams that change when they are encoded and decoded, and against datagrams that are accepted
 * although they are malformed, oversized, not authentic or of another version.
 */
class PeerCodecTest {

    private static final PeerDigest DIGEST =
            new PeerDigest("host-1", 7, 8, 9, "ab".repeat(32), true, true, List.of("10.0.0.1:80"), Map.of(-5L, 60));

    private static final KeyQuery QUERY = new KeyQuery("host-1", 7, 3, "key", -1);

    private static final String SENDER = "10.0.0.1:80";

    private final PeerCodec unauthenticated = new PeerCodec(MessageAuthenticator.Disabled.INSTANCE);

    private final PeerCodec authenticated =
            new PeerCodec(new MessageAuthenticator.HmacSha256("secret".getBytes(StandardCharsets.UTF_8)));

    @Test
    void decodesWhatWasEncoded() throws Exception {
        assertThat(
                unauthenticated.decode(unauthenticated.encode(DIGEST), SENDER, 0),
                equalTo(new Event.DigestArrived(DIGEST)));
        assertThat(
                authenticated.decode(authenticated.encode(DIGEST), SENDER, 0),
                equalTo(new Event.DigestArrived(DIGEST)));
        assertThat(
                unauthenticated.decode(unauthenticated.encode(QUERY), SENDER, 0),
                equalTo(new Event.KeyAsked(QUERY, SENDER)));
        for (KeyVerdict verdict : KeyVerdict.values()) {
            KeyReply reply = new KeyReply("host-2", 7, 3, "key", verdict);
            assertThat(
                    unauthenticated.decode(unauthenticated.encode(reply), SENDER, 0),
                    equalTo(new Event.KeyReplied(reply)));
        }
    }

    @Test
    void rejectsDatagramSignedWithOtherKey() {
        PeerCodec otherKey =
                new PeerCodec(new MessageAuthenticator.HmacSha256("guess".getBytes(StandardCharsets.UTF_8)));
        assertRejected(authenticated, otherKey.encode(DIGEST), "wrong authentication code");
        assertRejected(authenticated, unauthenticated.encode(DIGEST), "wrong authentication code");
        assertRejected(authenticated, new byte[3], "no authentication code");
    }

    @Test
    void rejectsDatagramWithOneFlippedBit() {
        byte[] datagram = authenticated.encode(DIGEST);
        for (int bit = 0; bit < datagram.length * 8; bit++) {
            byte[] changed = datagram.clone();
            changed[bit / 8] ^= (byte) (1 << bit % 8);
            assertRejected(authenticated, changed, "wrong authentication code");
        }
    }

    @Test
    void rejectsDatagramOfOtherVersion() {
        byte[] newerVersion = PeerMessage.newBuilder().setVersion(2).build().toByteArray();
        assertRejected(unauthenticated, newerVersion, "version 2");
    }

    @Test
    void rejectsOversizedDatagram() {
        assertRejected(unauthenticated, new byte[PeerCodec.MAXIMUM_DATAGRAM_BYTES + 1], "too large");
    }

    @Test
    void rejectsInvalidValues() {
        assertRejected(unauthenticated, encode(DigestMessage.newBuilder()), "invalid host name, revision or digest");
        assertRejected(
                unauthenticated,
                encode(DigestMessage.newBuilder().setName("a").setRevision(-1)),
                "invalid host name, revision or digest");
        assertRejected(
                unauthenticated,
                unauthenticated.encode(new KeyQuery("host-1", 7, 3, "", -1)),
                "host name or key that is empty or too long");
        assertRejected(
                unauthenticated, PeerMessage.newBuilder().setVersion(1).build().toByteArray(), "no body");
    }

    @Test
    void decodesOrRejectsRandomBytes() {
        SplittableRandom random = new SplittableRandom(20261204);
        byte[] valid = unauthenticated.encode(DIGEST);
        for (int round = 0; round < 20_000; round++) {
            byte[] bytes = round % 2 == 0 ? new byte[random.nextInt(200)] : valid.clone();
            int changes = round % 2 == 0 ? bytes.length : 1 + random.nextInt(4);
            for (int change = 0; change < changes; change++) {
                bytes[round % 2 == 0 ? change : random.nextInt(bytes.length)] = (byte) random.nextInt();
            }
            try {
                unauthenticated.decode(bytes, SENDER, 0);
            } catch (PeerMessageException exception) {
                assertThat(exception.getMessage().isEmpty(), equalTo(false));
            }
        }
    }

    @Test
    void rejectsTextThatInflatesBeyondMaximum() {
        byte[] deflated = Deflation.deflate("a".repeat(1000));
        PeerMessageException thrown = assertThrows(PeerMessageException.class, () -> Deflation.inflate(deflated, 999));
        assertThat(thrown.getMessage(), containsString("larger than 999"));
    }

    private static byte[] encode(DigestMessage.Builder digest) {
        return PeerMessage.newBuilder().setVersion(1).setDigest(digest).build().toByteArray();
    }

    private static void assertRejected(PeerCodec codec, byte[] datagram, String problem) {
        PeerMessageException thrown = assertThrows(PeerMessageException.class, () -> codec.decode(datagram, SENDER, 0));
        assertThat(thrown.getMessage(), containsString(problem));
    }
}
