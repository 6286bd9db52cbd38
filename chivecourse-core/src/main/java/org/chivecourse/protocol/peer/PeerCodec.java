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
import org.chivecourse.state.key.KeyQuery;
import org.chivecourse.state.key.KeyReply;
import org.chivecourse.state.key.KeyVerdict;
import org.chivecourse.state.peer.PeerDigest;
import org.chivecourse.state.reservation.SlotRelease;
import org.chivecourse.state.reservation.SlotReply;
import org.chivecourse.state.reservation.SlotRequest;

/** Encodes and decodes the datagrams that gateways send to each other. */
public final class PeerCodec {

    /** The version of the messages. Datagrams of any other version are rejected. */
    public static final int VERSION = 1;

    /** The maximum size of a datagram, in bytes. */
    public static final int MAXIMUM_DATAGRAM_BYTES = 1400;

    /** The maximum length of a host's name or an idempotency key, in characters. */
    static final int MAXIMUM_NAME_CHARACTERS = 255;

    /** The length of a configuration's digest, in bytes. */
    private static final int CONFIGURATION_DIGEST_BYTES = 32;

    /** Signs the datagrams that are sent and verifies those that are received. */
    private final MessageAuthenticator authenticator;

    /**
     * Creates a codec.
     *
     * @param authenticator signs and verifies datagrams
     */
    public PeerCodec(MessageAuthenticator authenticator) {
        this.authenticator = authenticator;
    }

    /**
     * Encodes a digest for the gateways of the platform's host list.
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
     * Encodes a query about an idempotency key.
     *
     * @param query the query
     * @return the datagram
     */
    public byte[] encode(KeyQuery query) {
        return sign(PeerMessage.newBuilder()
                .setKeyQuestion(KeyQuestionMessage.newBuilder()
                        .setName(query.name())
                        .setIncarnation(query.incarnation())
                        .setRound(query.round())
                        .setKey(query.key())
                        .setAgeNanoseconds(query.ageNanoseconds())));
    }

    /**
     * Encodes the reply to a query about an idempotency key.
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
     * Sets the version of a message, serializes it and signs it.
     *
     * @param message the message without its version
     * @return the datagram
     */
    private byte[] sign(PeerMessage.Builder message) {
        return authenticator.sign(message.setVersion(VERSION).build().toByteArray());
    }

    /**
     * Encodes a digest for a fleet whose gateways discover each other through seeds.
     *
     * @param digest the digest
     * @param now the current time in nanoseconds, from which the ages of observations are computed
     * @return the datagram
     */
    public byte[] encode(FleetDigest digest, long now) {
        return sign(PeerMessage.newBuilder().setFleetDigest(FleetCodec.encode(digest, now)));
    }

    /** Encodes a request for a slot. */
    public byte[] encode(SlotRequest request) {
        return sign(PeerMessage.newBuilder().setSlotRequest(ReservationCodec.encode(request)));
    }

    /** Encodes a reply to a request for a slot. */
    public byte[] encode(SlotReply reply) {
        return sign(PeerMessage.newBuilder().setSlotReply(ReservationCodec.encode(reply)));
    }

    /** Encodes a release of a slot. */
    public byte[] encode(SlotRelease release) {
        return sign(PeerMessage.newBuilder().setSlotRelease(ReservationCodec.encode(release)));
    }

    /**
     * Decodes a datagram into the event that the decision core handles.
     *
     * @param datagram the datagram
     * @param sender the address that the datagram was received from, with its port
     * @param now the current time in nanoseconds, to which the ages of observations are relative
     * @return the event
     * @throws PeerMessageException if the datagram is malformed, oversized, not authentic or of another version
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
            case KEY_QUESTION -> new Event.KeyAsked(decodeKeyQuery(message.getKeyQuestion()), sender);
            case KEY_REPLY -> new Event.KeyReplied(decodeKeyReply(message.getKeyReply()));
            case SLOT_REQUEST -> new Event.SlotRequested(ReservationCodec.decode(message.getSlotRequest()), sender);
            case SLOT_REPLY -> new Event.SlotReplied(ReservationCodec.decode(message.getSlotReply()), sender);
            case SLOT_RELEASE -> new Event.SlotReleased(ReservationCodec.decode(message.getSlotRelease()));
            default -> throw new PeerMessageException("datagram has no body of a known type");
        };
    }

    /**
     * Decodes a query about an idempotency key.
     *
     * @param message the message
     * @return the query
     * @throws PeerMessageException if the host's name or the key is empty or too long
     */
    private static KeyQuery decodeKeyQuery(KeyQuestionMessage message) throws PeerMessageException {
        checkNames(message.getName(), message.getKey());
        return new KeyQuery(
                message.getName(),
                message.getIncarnation(),
                message.getRound(),
                message.getKey(),
                message.getAgeNanoseconds());
    }

    /**
     * Decodes the reply to a query about an idempotency key. A verdict that this version does not define is decoded as
     * {@link KeyVerdict#NOT_KNOWN}.
     *
     * @param message the message
     * @return the reply
     * @throws PeerMessageException if the host's name or the key is empty or too long
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
     * Rejects a message whose host name or key is empty or too long.
     *
     * @param name the name of the host
     * @param key the key
     * @throws PeerMessageException if the name or the key is empty or too long
     */
    private static void checkNames(String name, String key) throws PeerMessageException {
        boolean allowed = !name.isEmpty()
                && name.length() <= MAXIMUM_NAME_CHARACTERS
                && !key.isEmpty()
                && key.length() <= MAXIMUM_NAME_CHARACTERS;
        if (!allowed) {
            throw new PeerMessageException(
                    "datagram of host \"" + name + "\" has a host name or key that is empty or too long");
        }
    }

    /**
     * Decodes a digest.
     *
     * @param message the message
     * @return the digest
     * @throws PeerMessageException if the host's name is empty or too long, the revision is negative, or the
     *     configuration digest is neither absent nor 32 bytes long
     */
    private static PeerDigest decodeDigest(DigestMessage message) throws PeerMessageException {
        int digestBytes = message.getConfigurationDigest().size();
        boolean nameValid = !message.getName().isEmpty() && message.getName().length() <= MAXIMUM_NAME_CHARACTERS;
        if (!nameValid || message.getRevision() < 0 || digestBytes != 0 && digestBytes != CONFIGURATION_DIGEST_BYTES) {
            throw new PeerMessageException(
                    "datagram of host \"" + message.getName() + "\" has an invalid host name, revision or digest");
        }
        Map<Long, Integer> blockedRequests = new HashMap<>();
        message.getConvictionsList()
                .forEach(blocked -> blockedRequests.put(blocked.getFingerprint(), blocked.getSeconds()));
        return new PeerDigest(
                message.getName(),
                message.getIncarnation(),
                message.getSequence(),
                message.getRevision(),
                HexFormat.of().formatHex(message.getConfigurationDigest().toByteArray()),
                message.getStopping(),
                message.getAsks(),
                message.getLeavingServersList(),
                blockedRequests);
    }

    /**
     * Converts a hexadecimal text to bytes.
     *
     * @param hexadecimal two digits for each byte
     * @return the bytes
     */
    public static ByteString parseHexadecimal(String hexadecimal) {
        return ByteString.copyFrom(HexFormat.of().parseHex(hexadecimal));
    }
}
