package org.chivecourse.protocol.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivecourse.configuration.rule.Address;
import org.chivecourse.protocol.peer.generated.AnsweredRequestMessage;
import org.chivecourse.protocol.peer.generated.ConvictionMessage;
import org.chivecourse.protocol.peer.generated.CrashMessage;
import org.chivecourse.protocol.peer.generated.FleetDigestMessage;
import org.chivecourse.protocol.peer.generated.MemberMessage;
import org.chivecourse.protocol.peer.generated.RequestLimitMessage;
import org.chivecourse.protocol.peer.generated.SightingMessage;
import org.chivecourse.protocol.peer.generated.WarmUpMessage;
import org.chivecourse.state.fleet.AnsweredRequest;
import org.chivecourse.state.fleet.Crash;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.fleet.LimitReport;
import org.chivecourse.state.fleet.Member;
import org.chivecourse.state.fleet.Observation;
import org.chivecourse.state.fleet.ObservationKind;
import org.chivecourse.state.fleet.WarmUpReport;
import org.chivecourse.state.publication.PublicationRevision;
import org.chivecourse.state.server.LoadReport;
import org.chivecourse.state.server.RequestLimit;

/**
 * Encodes and decodes the messages of a fleet whose gateways discover each other through seeds: digests and published
 * items.
 */
public final class FleetCodec {

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

    /** The maximum age of an observation. A digest with an older one is rejected. */
    private static final int MAXIMUM_OBSERVATION_AGE_MILLISECONDS = 60_000;

    /** The maximum age of a crash or an answer. A digest with an older one is rejected. */
    private static final int MAXIMUM_SUSPICION_AGE_MILLISECONDS = 600_000;

    /** The encoded rate of a backend server that has no request limit. */
    private static final double NO_LIMIT = -1;

    /** The maximum length of a name or key, in characters. */
    private static final int MAXIMUM_TEXT_CHARACTERS = 255;

    /** This class has only static methods. */
    private FleetCodec() {}

    /**
     * Encodes a digest.
     *
     * @param digest the digest
     * @param now the current time in nanoseconds, from which the ages of observations are computed
     * @return the message
     */
    static FleetDigestMessage encode(FleetDigest digest, long now) {
        FleetDigestMessage.Builder message = FleetDigestMessage.newBuilder()
                .setName(digest.sender().name())
                .setAddress(digest.sender().address())
                .setDataCentre(digest.sender().dataCentre())
                .setIncarnation(digest.incarnation())
                .setSequence(digest.sequence())
                .setStopping(digest.stopping())
                .setAsks(digest.replyRequested())
                .setRevision(PublicationRevision.number(digest.publisherStatus().revision()))
                .setEpoch(PublicationRevision.epoch(digest.publisherStatus().revision()))
                .setRetainedConfiguration(digest.publisherStatus().retainedConfiguration())
                .setPublisherReached(digest.publisherStatus().reached())
                .setWatching(digest.publisherStatus().watching())
                .setAnsweredMilliseconds(digest.publisherStatus().lastAnswerAgeMilliseconds())
                .setForwardingAddress(digest.forwardingAddress())
                .setFleetSize(digest.fleetSize())
                .setDataCentreSize(digest.dataCentreSize())
                .setAllocatesSlots(digest.allocatesSlots());
        for (Member member : digest.members()) {
            message.addMembers(MemberMessage.newBuilder()
                    .setName(member.name())
                    .setAddress(member.address())
                    .setDataCentre(member.dataCentre()));
        }
        for (Observation observation : digest.observations()) {
            message.addSightings(encode(observation, now));
        }
        for (Crash crash : digest.crashes()) {
            CrashMessage.Builder encoded = CrashMessage.newBuilder()
                    .setFingerprint(crash.fingerprint())
                    .setServer(crash.server())
                    .setAgeMilliseconds(ageMilliseconds(crash.endedAt(), now));
            if (crash.possible()) {
                message.addPossibleCrashes(encoded);
            } else {
                message.addCrashes(encoded);
            }
        }
        for (AnsweredRequest answered : digest.answeredRequests()) {
            message.addAnsweredRequests(AnsweredRequestMessage.newBuilder()
                    .setFingerprint(answered.fingerprint())
                    .setAgeMilliseconds(ageMilliseconds(answered.answeredAt(), now)));
        }
        digest.blockedRequests()
                .forEach((fingerprint, seconds) -> message.addConvictions(ConvictionMessage.newBuilder()
                        .setFingerprint(fingerprint)
                        .setSeconds(seconds)));
        digest.limitReports().forEach(report -> message.addRequestLimits(encode(report, now)));
        digest.warmUps().forEach(report -> message.addWarmUps(WarmUpCodec.encode(report, now)));
        CrossingCodec.encode(digest, message, now);
        if (digest.changes() != null && digest.changes().differences().isEmpty()) {
            message.setChanges(PublicationCodec.encode(digest.changes()));
        } else if (digest.changes() != null) {
            message.setCompactChanges(PublicationCodec.encode(digest.changes()));
        }
        return message.build();
    }

    /**
     * Encodes an observation with its age, because the clocks of two hosts are not comparable. The number of dispatched
     * requests is sent in the field for requests in flight.
     *
     * @param observation the observation
     * @param now the current time in nanoseconds
     * @return the message
     */
    private static SightingMessage.Builder encode(Observation observation, long now) {
        SightingMessage.Builder message = SightingMessage.newBuilder()
                .setServer(observation.server())
                .setKind(observation.kind().ordinal())
                .setAgeMilliseconds(ageMilliseconds(observation.observedAt(), now));
        if (observation.report() != null) {
            message.setInFlight(observation.report().inFlight())
                    .setSlots(observation.report().slots())
                    .setSlownessPercent(observation.report().slownessPercent());
        } else if (observation.kind() == ObservationKind.HANDED) {
            message.setInFlight(observation.requests());
        }
        return message;
    }

    /**
     * Encodes a report of a request limit.
     *
     * @param report the report
     * @param now the current time in nanoseconds
     * @return the message
     */
    private static RequestLimitMessage.Builder encode(LimitReport report, long now) {
        RequestLimit limit = report.limit();
        return RequestLimitMessage.newBuilder()
                .setServer(report.server())
                .setIncarnation(report.incarnation())
                .setRequestsPerSecond(limit.unlimited() ? NO_LIMIT : limit.requestsPerSecond())
                .setAgeMilliseconds(ageMilliseconds(report.statedAt(), now))
                .setDispatched(report.dispatched());
    }

    /**
     * Decodes a report of a request limit.
     *
     * @param message the message
     * @param now the current time in nanoseconds
     * @return the report, with its time converted to the clock of this host
     * @throws PeerMessageException if a value is out of range
     */
    private static LimitReport decode(RequestLimitMessage message, long now) throws PeerMessageException {
        double requestsPerSecond = message.getRequestsPerSecond();
        if (Double.isNaN(requestsPerSecond) || message.getDispatched() < 0) {
            throw new PeerMessageException("limit of backend server \"" + message.getServer() + "\" is "
                    + requestsPerSecond + " with " + message.getDispatched() + " requests");
        }
        return new LimitReport(
                checkText(message.getServer()),
                message.getIncarnation(),
                requestsPerSecond < 0 ? RequestLimit.NONE : new RequestLimit(requestsPerSecond),
                timeOf(message.getAgeMilliseconds(), now),
                message.getDispatched());
    }

    /**
     * Returns the age of an event, which is sent in place of its time because the clocks of two hosts are not
     * comparable.
     *
     * @param time the time of the event in nanoseconds
     * @param now the current time in nanoseconds
     * @return the age in milliseconds, zero for a time in the future
     */
    static int ageMilliseconds(long time, long now) {
        return (int) Math.max(0, (now - time) / NANOSECONDS_PER_MILLISECOND);
    }

    /**
     * Returns the time of an event on the clock of this host.
     *
     * @param ageMilliseconds the age of the event in milliseconds
     * @param now the current time in nanoseconds
     * @return the time in nanoseconds
     * @throws PeerMessageException if the event is older than suspicions last
     */
    static long timeOf(int ageMilliseconds, long now) throws PeerMessageException {
        if (ageMilliseconds < 0 || ageMilliseconds > MAXIMUM_SUSPICION_AGE_MILLISECONDS) {
            throw new PeerMessageException("a crash or answer has the age " + ageMilliseconds + " ms");
        }
        return now - ageMilliseconds * NANOSECONDS_PER_MILLISECOND;
    }

    /**
     * Decodes a digest.
     *
     * @param message the message
     * @param now the current time in nanoseconds, to which the ages of observations are relative
     * @return the digest
     * @throws PeerMessageException if a value is out of range
     */
    static FleetDigest decode(FleetDigestMessage message, long now) throws PeerMessageException {
        Member sender = decodeMember(message.getName(), message.getAddress(), message.getDataCentre());
        if (message.getRevision() < 0 || message.getEpoch() < 0) {
            throw new PeerMessageException("digest of host \"" + message.getName() + "\" has revision "
                    + message.getRevision() + " of epoch " + message.getEpoch());
        }
        List<Member> members = new ArrayList<>();
        for (MemberMessage member : message.getMembersList()) {
            members.add(decodeMember(member.getName(), member.getAddress(), member.getDataCentre()));
        }
        List<Observation> observations = new ArrayList<>();
        for (SightingMessage observation : message.getSightingsList()) {
            observations.add(decode(observation, now));
        }
        List<Crash> crashes = new ArrayList<>();
        for (CrashMessage crash : message.getCrashesList()) {
            crashes.add(decode(crash, false, now));
        }
        for (CrashMessage crash : message.getPossibleCrashesList()) {
            crashes.add(decode(crash, true, now));
        }
        List<AnsweredRequest> answeredRequests = new ArrayList<>();
        for (AnsweredRequestMessage answered : message.getAnsweredRequestsList()) {
            long answeredAt = timeOf(answered.getAgeMilliseconds(), now);
            answeredRequests.add(new AnsweredRequest(answered.getFingerprint(), answeredAt));
        }
        List<LimitReport> limitReports = new ArrayList<>();
        for (RequestLimitMessage limit : message.getRequestLimitsList()) {
            limitReports.add(decode(limit, now));
        }
        List<WarmUpReport> warmUps = new ArrayList<>();
        for (WarmUpMessage warmUp : message.getWarmUpsList()) {
            warmUps.add(WarmUpCodec.decode(warmUp, now));
        }
        Map<Long, Integer> blockedRequests = new HashMap<>();
        message.getConvictionsList()
                .forEach(blocked -> blockedRequests.put(blocked.getFingerprint(), blocked.getSeconds()));
        return new FleetDigest(
                sender,
                message.getIncarnation(),
                message.getSequence(),
                message.getStopping(),
                message.getAsks(),
                new FleetDigest.PublisherStatus(
                        PublicationRevision.of(message.getEpoch(), message.getRevision()),
                        message.getPublisherReached(),
                        message.getWatching(),
                        message.getAnsweredMilliseconds(),
                        message.getRetainedConfiguration()),
                members,
                observations,
                crashes,
                answeredRequests,
                blockedRequests,
                decodeChanges(message),
                message.getFleetSize(),
                message.getDataCentreSize(),
                limitReports,
                warmUps,
                decodeForwardingAddress(message),
                CrossingCodec.decodeRooms(message, now),
                CrossingCodec.decodeWantedServices(message),
                message.getAllocatesSlots());
    }

    /**
     * Decodes the changes of published items that a digest carries.
     *
     * @param message the digest
     * @return the changes, {@code null} if there are none
     * @throws PeerMessageException if they are invalid
     */
    private static FleetDigest.Changes decodeChanges(FleetDigestMessage message) throws PeerMessageException {
        if (message.hasCompactChanges()) {
            return PublicationCodec.decode(message.getCompactChanges());
        }
        return message.hasChanges() ? PublicationCodec.decode(message.getChanges()) : null;
    }

    /**
     * Decodes a crash.
     *
     * @param message the message
     * @param possible whether the backend server may go on running
     * @param now the current time in nanoseconds
     * @return the crash, with its time converted to the clock of this host
     * @throws PeerMessageException if the name of the backend server or the age is invalid
     */
    private static Crash decode(CrashMessage message, boolean possible, long now) throws PeerMessageException {
        long endedAt = timeOf(message.getAgeMilliseconds(), now);
        return new Crash(message.getFingerprint(), checkText(message.getServer()), endedAt, possible);
    }

    /**
     * Returns the address at which the sender of a digest takes calls.
     *
     * @param message the digest
     * @return the address, empty if it takes none
     * @throws PeerMessageException if it cannot be connected to
     */
    private static String decodeForwardingAddress(FleetDigestMessage message) throws PeerMessageException {
        String address = message.getForwardingAddress();
        if (!address.isEmpty() && !Address.isValid(address)) {
            throw new PeerMessageException(
                    "host \"" + message.getName() + "\" has an invalid forwarding address \"" + address + "\"");
        }
        return address;
    }

    /**
     * Decodes an observation.
     *
     * @param message the message
     * @param now the current time in nanoseconds
     * @return the observation, with its time converted to the clock of this host
     * @throws PeerMessageException if a value is out of range
     */
    private static Observation decode(SightingMessage message, long now) throws PeerMessageException {
        ObservationKind[] kinds = ObservationKind.values();
        int age = message.getAgeMilliseconds();
        boolean valid = message.getKind() >= 0
                && message.getKind() < kinds.length
                && age >= 0
                && age <= MAXIMUM_OBSERVATION_AGE_MILLISECONDS
                && message.getInFlight() >= 0
                && message.getSlots() >= 0
                && message.getSlownessPercent() >= 0;
        if (!valid) {
            throw new PeerMessageException("observation of backend server \"" + message.getServer() + "\" has kind "
                    + message.getKind() + ", age " + age + " ms, " + message.getInFlight() + " in flight");
        }
        ObservationKind kind = kinds[message.getKind()];
        long observedAt = now - age * NANOSECONDS_PER_MILLISECOND;
        if (kind == ObservationKind.HANDED) {
            return Observation.ofDispatched(checkText(message.getServer()), message.getInFlight(), observedAt);
        }
        LoadReport report = kind == ObservationKind.LOAD
                ? new LoadReport(message.getInFlight(), message.getSlots(), message.getSlownessPercent())
                : null;
        return new Observation(checkText(message.getServer()), kind, report, observedAt);
    }

    /**
     * Validates the fields of a member and creates it.
     *
     * @param name the name of its host
     * @param address the address at which it listens for other gateways, with a port
     * @param dataCentre the name of its data centre, which may be empty
     * @return the member
     * @throws PeerMessageException if a field is too long, the name is empty or the address cannot be connected to
     */
    private static Member decodeMember(String name, String address, String dataCentre) throws PeerMessageException {
        boolean valid = Address.isValid(address) && dataCentre.length() <= MAXIMUM_TEXT_CHARACTERS;
        if (!valid) {
            throw new PeerMessageException(
                    "host \"" + name + "\" has an invalid data centre or address \"" + address + "\"");
        }
        return new Member(checkText(name), address, dataCentre);
    }

    /**
     * Returns a text after checking its length.
     *
     * @param text the text
     * @return the same text
     * @throws PeerMessageException if the text is empty or too long
     */
    static String checkText(String text) throws PeerMessageException {
        if (text.isEmpty() || text.length() > MAXIMUM_TEXT_CHARACTERS) {
            throw new PeerMessageException("a name or key has " + text.length() + " characters");
        }
        return text;
    }
}
