package org.chivecourse.protocol.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import org.chivecourse.protocol.peer.generated.ConvictionMessage;
import org.chivecourse.protocol.peer.generated.DigestMessage;
import org.chivecourse.state.peer.PeerDigest;

/** Prints and reads the datagrams between gateways. */
public final class PeerCodec {

    /** The version of the messages. */
    public static final int VERSION = 1;

    /** The largest datagram, in bytes. */
    public static final int LARGEST_DATAGRAM_BYTES = 1400;

    /** The longest name of a host, in characters. */
    private static final int LONGEST_NAME = 255;

    /** The number of bytes of a configuration's digest. */
    private static final int DIGEST_BYTES = 32;

    /** The seal of datagrams. */
    private final Seal seal;

    /**
     * Creates a codec.
     *
     * @param seal the seal of datagrams
     */
    public PeerCodec(Seal seal) {
        this.seal = seal;
    }

    /**
     * Prints a digest.
     *
     * @param digest the digest
     * @return the datagram
     */
    public byte[] print(PeerDigest digest) {
        DigestMessage.Builder message = DigestMessage.newBuilder()
                .setVersion(VERSION)
                .setName(digest.name())
                .setIncarnation(digest.incarnation())
                .setSequence(digest.sequence())
                .setRevision(digest.revision())
                .setConfigurationDigest(bytes(digest.configurationDigest()))
                .setStopping(digest.stopping())
                .setAsks(digest.asks())
                .addAllLeavingServers(digest.leavingServers());
        digest.convictions()
                .forEach((fingerprint, seconds) -> message.addConvictions(ConvictionMessage.newBuilder()
                        .setFingerprint(fingerprint)
                        .setSeconds(seconds)));
        return seal.close(message.build().toByteArray());
    }

    /**
     * Reads a datagram.
     *
     * @param datagram the datagram
     * @return the digest
     * @throws PeerMessageException if the datagram is malformed, oversized, forged or of another version
     */
    public PeerDigest read(byte[] datagram) throws PeerMessageException {
        if (datagram.length > LARGEST_DATAGRAM_BYTES) {
            throw new PeerMessageException("datagram of " + datagram.length + " bytes is too large");
        }
        DigestMessage message;
        try {
            message = DigestMessage.parseFrom(seal.open(datagram));
        } catch (InvalidProtocolBufferException exception) {
            throw new PeerMessageException("datagram is malformed: " + exception.getMessage());
        }
        if (message.getVersion() != VERSION) {
            throw new PeerMessageException("datagram has version " + message.getVersion());
        }
        return digest(message);
    }

    /**
     * Returns the digest of a message.
     *
     * @param message the message
     * @return the digest
     * @throws PeerMessageException if a value is not allowed
     */
    private static PeerDigest digest(DigestMessage message) throws PeerMessageException {
        int digestBytes = message.getConfigurationDigest().size();
        boolean named = !message.getName().isEmpty() && message.getName().length() <= LONGEST_NAME;
        if (!named || message.getRevision() < 0 || digestBytes != 0 && digestBytes != DIGEST_BYTES) {
            throw new PeerMessageException("datagram of host \"" + message.getName() + "\" holds impossible values");
        }
        Map<Long, Integer> convictions = new HashMap<>();
        message.getConvictionsList()
                .forEach(conviction -> convictions.put(conviction.getFingerprint(), conviction.getSeconds()));
        return new PeerDigest(
                message.getName(),
                message.getIncarnation(),
                message.getSequence(),
                message.getRevision(),
                HexFormat.of().formatHex(message.getConfigurationDigest().toByteArray()),
                message.getStopping(),
                message.getAsks(),
                message.getLeavingServersList(),
                convictions);
    }

    /**
     * Returns the bytes of a hexadecimal text.
     *
     * @param hexadecimal the text
     * @return the bytes
     */
    public static ByteString bytes(String hexadecimal) {
        return ByteString.copyFrom(HexFormat.of().parseHex(hexadecimal));
    }
}
