package org.chivecourse.protocol.peer;

import java.util.List;
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

/** Converts what gateways tell each other of reservations of slots. */
final class ReservationCodec {

    /** The number of nanoseconds in a microsecond. */
    private static final long NANOSECONDS_PER_MICROSECOND = 1_000L;

    /** The longest time in a message, in microseconds. */
    private static final long MAXIMUM_MICROSECONDS = 24L * 3_600 * 1_000_000;

    /** The maximum number of backend servers that a request excludes. */
    private static final int MAXIMUM_TRIED_SERVERS = 16;

    /** The maximum number in a load report. */
    private static final int MAXIMUM_COUNT = 1_000_000;

    /** Prevents instantiation. */
    private ReservationCodec() {}

    /** Encodes a request. Of the backend servers that were tried the last ones are kept. */
    static SlotRequestMessage.Builder encode(SlotRequest request) {
        List<String> tried = request.tried();
        return SlotRequestMessage.newBuilder()
                .setRequester(encode(request.requester()))
                .setService(request.service())
                .setDataCentre(request.dataCentre())
                .setGroup(request.group())
                .setRoute(request.route())
                .setRank(request.rank())
                .setElapsedMicroseconds(microseconds(request.elapsedNanoseconds()))
                .setRemainingMicroseconds(microseconds(request.remainingNanoseconds()))
                .setTargetLatencyMicroseconds(microseconds(request.targetLatencyNanoseconds()))
                .setImmediate(request.immediate())
                .addAllTried(tried.subList(Math.max(0, tried.size() - MAXIMUM_TRIED_SERVERS), tried.size()))
                .setReplyAddress(request.replyAddress())
                .setHops(request.hops());
    }

    /** Encodes a reply. */
    static SlotReplyMessage.Builder encode(SlotReply reply) {
        return SlotReplyMessage.newBuilder()
                .setRequester(encode(reply.requester()))
                .setVerdict(reply.verdict().ordinal())
                .setServer(reply.server())
                .setServerIncarnation(reply.serverIncarnation());
    }

    /** Encodes a release. */
    static SlotReleaseMessage.Builder encode(SlotRelease release) {
        SlotReleaseMessage.Builder message = SlotReleaseMessage.newBuilder()
                .setRequester(encode(release.requester()))
                .setOutcome(release.outcome().ordinal());
        LoadReport report = release.report();
        if (report != null) {
            message.setReported(true)
                    .setInFlight(report.inFlight())
                    .setSlots(report.slots())
                    .setSlownessPercent(report.slownessPercent());
        }
        return message;
    }

    /** Encodes the key of a request. */
    private static SlotKeyMessage encode(SlotKey key) {
        return SlotKeyMessage.newBuilder()
                .setName(key.name())
                .setIncarnation(key.incarnation())
                .setNumber(key.number())
                .build();
    }

    /** Converts a time. */
    private static long microseconds(long nanoseconds) {
        return Math.max(0, Math.min(MAXIMUM_MICROSECONDS, nanoseconds / NANOSECONDS_PER_MICROSECOND));
    }

    /**
     * Decodes a request.
     *
     * @throws PeerMessageException if a name is empty or too long, or a number is out of range
     */
    static SlotRequest decode(SlotRequestMessage message) throws PeerMessageException {
        boolean named = allowed(message.getService())
                && allowed(message.getRoute())
                && allowed(message.getDataCentre())
                && message.getReplyAddress().length() <= PeerCodec.MAXIMUM_NAME_CHARACTERS
                && message.getTriedCount() <= MAXIMUM_TRIED_SERVERS
                && message.getTriedList().stream().allMatch(ReservationCodec::allowed);
        boolean inRange = message.getGroup() >= 0
                && message.getHops() >= 0
                && message.getRank() >= 0
                && inRange(message.getElapsedMicroseconds())
                && inRange(message.getRemainingMicroseconds())
                && inRange(message.getTargetLatencyMicroseconds());
        SlotKey requester = decode(message.getRequester());
        if (!named || !inRange) {
            throw new PeerMessageException("slot request of host \"" + requester.name() + "\" has an invalid value");
        }
        return new SlotRequest(
                requester,
                message.getService(),
                message.getDataCentre(),
                message.getGroup(),
                message.getRoute(),
                message.getRank(),
                message.getElapsedMicroseconds() * NANOSECONDS_PER_MICROSECOND,
                message.getRemainingMicroseconds() * NANOSECONDS_PER_MICROSECOND,
                message.getTargetLatencyMicroseconds() * NANOSECONDS_PER_MICROSECOND,
                message.getImmediate(),
                message.getTriedList(),
                message.getReplyAddress(),
                message.getHops());
    }

    /**
     * Decodes a reply. A verdict that this version does not define is decoded as {@link SlotVerdict#NOT_ALLOCATED}.
     *
     * @throws PeerMessageException if a name is empty or too long
     */
    static SlotReply decode(SlotReplyMessage message) throws PeerMessageException {
        SlotVerdict[] verdicts = SlotVerdict.values();
        int verdict = message.getVerdict();
        boolean known = verdict >= 0 && verdict < verdicts.length;
        SlotKey requester = decode(message.getRequester());
        if (message.getServer().length() > PeerCodec.MAXIMUM_NAME_CHARACTERS) {
            throw new PeerMessageException("slot reply to host \"" + requester.name() + "\" has a name too long");
        }
        return new SlotReply(
                requester,
                known ? verdicts[verdict] : SlotVerdict.NOT_ALLOCATED,
                message.getServer(),
                message.getServerIncarnation());
    }

    /**
     * Decodes a release. An outcome that this version does not define is decoded as {@link SlotOutcome#CANCELLED}.
     *
     * @throws PeerMessageException if a name is empty or too long, or a number is out of range
     */
    static SlotRelease decode(SlotReleaseMessage message) throws PeerMessageException {
        SlotOutcome[] outcomes = SlotOutcome.values();
        int outcome = message.getOutcome();
        boolean known = outcome >= 0 && outcome < outcomes.length;
        return new SlotRelease(
                decode(message.getRequester()),
                known ? outcomes[outcome] : SlotOutcome.CANCELLED,
                message.getReported() ? decodeReport(message) : null);
    }

    /** Decodes the load that a release reports. */
    private static LoadReport decodeReport(SlotReleaseMessage message) throws PeerMessageException {
        boolean valid = isCount(message.getInFlight())
                && isCount(message.getSlots())
                && message.getSlots() > 0
                && isCount(message.getSlownessPercent());
        if (!valid) {
            throw new PeerMessageException(
                    "slot release of host \"" + message.getRequester().getName() + "\" has an invalid load");
        }
        return new LoadReport(message.getInFlight(), message.getSlots(), message.getSlownessPercent());
    }

    /** Decodes the key of a request. */
    private static SlotKey decode(SlotKeyMessage message) throws PeerMessageException {
        if (!allowed(message.getName())) {
            throw new PeerMessageException("slot message has a host name that is empty or too long");
        }
        return new SlotKey(message.getName(), message.getIncarnation(), message.getNumber());
    }

    /** Returns whether a name is neither empty nor too long. */
    private static boolean allowed(String name) {
        return !name.isEmpty() && name.length() <= PeerCodec.MAXIMUM_NAME_CHARACTERS;
    }

    /** Returns whether a time is in range. */
    private static boolean inRange(long microseconds) {
        return microseconds >= 0 && microseconds <= MAXIMUM_MICROSECONDS;
    }

    /** Returns whether a number of a load report is in range. */
    private static boolean isCount(int number) {
        return number >= 0 && number <= MAXIMUM_COUNT;
    }
}
