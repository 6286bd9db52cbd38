package org.chivecourse.protocol.peer;

import java.util.concurrent.TimeUnit;
import org.chivecourse.protocol.peer.generated.WarmUpMessage;
import org.chivecourse.state.fleet.WarmUpReport;

/** Encodes and decodes reports of the warm-ups of backend servers. */
final class WarmUpCodec {

    /** This class has only static methods. */
    private WarmUpCodec() {}

    /**
     * Encodes a report.
     *
     * @param report the report
     * @param now the current time in nanoseconds
     * @return the message
     */
    static WarmUpMessage encode(WarmUpReport report, long now) {
        return WarmUpMessage.newBuilder()
                .setServer(report.server())
                .setIncarnation(report.incarnation())
                .setRemainingMilliseconds((int) TimeUnit.NANOSECONDS.toMillis(report.remainingNanoseconds()))
                .setAgeMilliseconds(FleetCodec.ageMilliseconds(report.statedAt(), now))
                .build();
    }

    /**
     * Decodes a report.
     *
     * @param message the message
     * @param now the current time in nanoseconds
     * @return the report, with its time converted to the clock of this host
     * @throws PeerMessageException if a value is out of range
     */
    static WarmUpReport decode(WarmUpMessage message, long now) throws PeerMessageException {
        int remaining = message.getRemainingMilliseconds();
        if (remaining < 0 || remaining > TimeUnit.DAYS.toMillis(1)) {
            throw new PeerMessageException(
                    "backend server \"" + message.getServer() + "\" stays cold for " + remaining + " ms");
        }
        return new WarmUpReport(
                FleetCodec.checkText(message.getServer()),
                message.getIncarnation(),
                TimeUnit.MILLISECONDS.toNanos(remaining),
                FleetCodec.timeOf(message.getAgeMilliseconds(), now));
    }
}
