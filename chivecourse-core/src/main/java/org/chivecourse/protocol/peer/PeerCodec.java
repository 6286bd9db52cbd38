package org.chivecourse.protocol.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.protocol.peer.generated.ConvictionMessage;
import org.chivecourse.protocol.peer.generated.DigestMessage;
import org.chivecourse.protocol.peer.generated.KeyQuestionMessage;
import org.chivecourse.protocol.peer.generated.KeyReplyMessage;
import org.chivecourse.protocol.peer.generated.KeyVerdictMessage;
import org.chivecourse.protocol.peer.generated.PeerMessage;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.key.KeyQuestion;
import org.chivecourse.state.key.KeyReply;
import org.chivecourse.state.key.KeyVerdict;
import org.chivecourse.state.peer.PeerDigest;

/** Prints and reads the datagrams between gateways. */
public final class PeerCodec {

    /** The version of the messages. */
    public static final int VERSION = 1;

    /** The largest datagram, in bytes. */
    public static final int MAXIMUM_DATAGRAM_BYTES = 1400;

    /** The longest name of a host, in characters. */
    private static final int MAXIMUM_NAME_CHARACTERS = 255;

    /** The number of bytes of a configuration's digest. */
    private static final int CONFIGURATION_DIGEST_BYTES = 32;

    /** The seal of datagrams. */
    private final MessageAuthenticator authenticator;

    /**
     * Creates a codec.
     *
     * @param authenticator the seal of datagrams
     */
    public PeerCodec(MessageAuthenticator authenticator) {
        this.authenticator = authenticator;
    }

    /**
     * Prints a digest.
     *
     * @param digest the digest
     * @return the datagram
     */
    public byte[] encode(PeerDigest digest) {
        DigestMessage.Builder message = DigestMessage.newBuilder()
                .setName(digest.name())
                .setIncarnation(digest.incarnation())
                .setSequence(digest.sequence())
                .setRevision(digest.revision())
                .setConfigurationDigest(parseHexadecimal(digest.configurationDigest()))
                .setStopping(digest.stopping())
                .setAsks(digest.replyRequested())
                .addAllLeavingServers(digest.leavingServers());
        digest.blockedRequests()
                .forEach((fingerprint, seconds) -> message.addConvictions(ConvictionMessage.newBuilder()
                        .setFingerprint(fingerprint)
                        .setSeconds(seconds)));
        return sign(PeerMessage.newBuilder().setDigest(message));
    }

    /**
     * Prints a question.
     *
     * @param question the question
     * @return the datagram
     */
    public byte[] encode(KeyQuestion question) {
        return sign(PeerMessage.newBuilder()
                .setKeyQuestion(KeyQuestionMessage.newBuilder()
                        .setName(question.name())
                        .setIncarnation(question.incarnation())
                        .setRound(question.round())
                        .setKey(question.key())
                        .setAgeNanoseconds(question.ageNanoseconds())));
    }

    /**
     * Prints a reply.
     *
     * @param reply the reply
     * @return the datagram
     */
    public byte[] encode(KeyReply reply) {
        KeyVerdictMessage verdict =
                switch (reply.verdict()) {
                    case FREE -> KeyVerdictMessage.KEY_FREE;
                    case HELD -> KeyVerdictMessage.KEY_HELD;
                    default -> KeyVerdictMessage.KEY_NOT_KNOWN;
                };
        return sign(PeerMessage.newBuilder()
                .setKeyReply(KeyReplyMessage.newBuilder()
                        .setName(reply.name())
                        .setIncarnation(reply.incarnation())
                        .setRound(reply.round())
                        .setKey(reply.key())
                        .setVerdict(verdict)));
    }

    /**
     * Seals a message.
     *
     * @param message the message without its version
     * @return the datagram
     */
    private byte[] sign(PeerMessage.Builder message) {
        return authenticator.sign(message.setVersion(VERSION).build().toByteArray());
    }

    /**
     * Prints a digest of a fleet that finds itself.
     *
     * @param digest the digest
     * @param now the time in nanoseconds
     * @return the datagram
     */
    public byte[] encode(FleetDigest digest, long now) {
        return sign(PeerMessage.newBuilder().setFleetDigest(FleetCodec.encode(digest, now)));
    }

    /**
     * Reads a datagram.
     *
     * @param datagram the datagram
     * @param sender the address that it came from
     * @param now the time in nanoseconds
     * @return what it tells the decision core
     * @throws PeerMessageException if the datagram is malformed, oversized, forged or of another version
     */
    public Event decode(byte[] datagram, String sender, long now) throws PeerMessageException {
        if (datagram.length > MAXIMUM_DATAGRAM_BYTES) {
            throw new PeerMessageException("datagram of " + datagram.length + " bytes is too large");
        }
        PeerMessage message;
        try {
            message = PeerMessage.parseFrom(authenticator.verify(datagram));
        } catch (InvalidProtocolBufferException exception) {
            throw new PeerMessageException("datagram is malformed: " + exception.getMessage());
        }
        if (message.getVersion() != VERSION) {
            throw new PeerMessageException("datagram has version " + message.getVersion());
        }
        return switch (message.getBodyCase()) {
            case DIGEST -> new Event.DigestArrived(decodeDigest(message.getDigest()));
            case FLEET_DIGEST -> new Event.FleetDigestArrived(FleetCodec.decode(message.getFleetDigest(), now));
            case KEY_QUESTION -> new Event.KeyAsked(decodeKeyQuestion(message.getKeyQuestion()), sender);
            case KEY_REPLY -> new Event.KeyReplied(decodeKeyReply(message.getKeyReply()));
            default -> throw new PeerMessageException("datagram has no body that is known");
        };
    }

    /**
     * Returns the question of a message.
     *
     * @param message the message
     * @return the question
     * @throws PeerMessageException if a value is not allowed
     */
    private static KeyQuestion decodeKeyQuestion(KeyQuestionMessage message) throws PeerMessageException {
        checkNames(message.getName(), message.getKey());
        return new KeyQuestion(
                message.getName(),
                message.getIncarnation(),
                message.getRound(),
                message.getKey(),
                message.getAgeNanoseconds());
    }

    /**
     * Returns the reply of a message.
     *
     * @param message the message
     * @return the reply
     * @throws PeerMessageException if a value is not allowed
     */
    private static KeyReply decodeKeyReply(KeyReplyMessage message) throws PeerMessageException {
        checkNames(message.getName(), message.getKey());
        KeyVerdict verdict =
                switch (message.getVerdict()) {
                    case KEY_FREE -> KeyVerdict.FREE;
                    case KEY_HELD -> KeyVerdict.HELD;
                    default -> KeyVerdict.NOT_KNOWN;
                };
        return new KeyReply(message.getName(), message.getIncarnation(), message.getRound(), message.getKey(), verdict);
    }

    /**
     * Refuses a message without a host or a key.
     *
     * @param name the name of the host
     * @param key the key
     * @throws PeerMessageException if one is missing or too long
     */
    private static void checkNames(String name, String key) throws PeerMessageException {
        boolean allowed = !name.isEmpty()
                && name.length() <= MAXIMUM_NAME_CHARACTERS
                && !key.isEmpty()
                && key.length() <= MAXIMUM_NAME_CHARACTERS;
        if (!allowed) {
            throw new PeerMessageException("datagram of host \"" + name + "\" holds impossible values");
        }
    }

    /**
     * Returns the digest of a message.
     *
     * @param message the message
     * @return the digest
     * @throws PeerMessageException if a value is not allowed
     */
    private static PeerDigest decodeDigest(DigestMessage message) throws PeerMessageException {
        int digestBytes = message.getConfigurationDigest().size();
        boolean nameValid = !message.getName().isEmpty() && message.getName().length() <= MAXIMUM_NAME_CHARACTERS;
        if (!nameValid || message.getRevision() < 0 || digestBytes != 0 && digestBytes != CONFIGURATION_DIGEST_BYTES) {
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
    public static ByteString parseHexadecimal(String hexadecimal) {
        return ByteString.copyFrom(HexFormat.of().parseHex(hexadecimal));
    }
}
