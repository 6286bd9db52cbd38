package org.chivecourse.coordination.warmup;

import java.util.HashMap;
import java.util.Map;
import org.chivecourse.coordination.fleet.RendezvousHash;

/**
 * Elects the few gateways of a data centre that send to a cold backend server, on its own in each gateway and without
 * agreement.
 *
 * <p>Gateways that fell silent are remembered. A gateway that hears from no more than half of those it remembers or was
 * told of elects nobody, since it may be the one that is cut off. Neither does one that has just started. So gateways
 * whose views differ elect few more senders than those whose views are equal. A gateway that has heard of no other,
 * though there may be some, sends rarely.
 */
public final class SenderElection {

    /** The time after the start for which a gateway elects nobody. */
    private static final long SETTLING_NANOSECONDS = 3_000_000_000L;

    /** The time after the start from which a gateway that has heard of nobody takes itself for the only one. */
    private static final long LONE_NANOSECONDS = 30_000_000_000L;

    /** The time between two requests of a gateway that has heard of nobody to a cold backend server, in seconds. */
    private static final double LONE_INTERVAL_SECONDS = 10;

    /** The time without a digest after which a gateway does not count as heard. */
    private static final long HEARD_NANOSECONDS = 2_000_000_000L;

    /**
     * The time without a digest after which others take over from a gateway. It elects nobody by then if it was cut
     * off.
     */
    private static final long ABSENCE_NANOSECONDS = 5_000_000_000L;

    /** The time without a digest after which a gateway is forgotten. */
    private static final long MEMORY_NANOSECONDS = 120_000_000_000L;

    /** The time for which a size of the data centre that others report holds. */
    private static final long REPORT_NANOSECONDS = 10_000_000_000L;

    /** The lowest number of senders, so that a backend server gets some requests after one of them ended. */
    private static final int MINIMUM_SENDERS = 2;

    /** The name of this gateway. */
    private final String self;

    /** The time at which this gateway started. */
    private final long startedAt;

    /** The time of the last sign of life of the other gateways of the data centre, by name. */
    private final Map<String, Long> seenAt = new HashMap<>();

    /** The time of the last digest of those that sent one, by name. */
    private final Map<String, Long> heardAt = new HashMap<>();

    /** The largest size of the data centre that was reported recently. */
    private int reportedSize;

    /** The time of that report. */
    private long reportedSizeAt;

    /**
     * Creates an election of a gateway that knows no other.
     *
     * @param self the name of this gateway
     * @param now the current time in nanoseconds
     */
    public SenderElection(String self, long now) {
        this.self = self;
        startedAt = now;
    }

    /** Records the latest digest of another gateway of the data centre. */
    public void recordDigest(String gateway, int dataCentreSize, long at) {
        seenAt.merge(gateway, at, Math::max);
        heardAt.merge(gateway, at, Math::max);
        if (dataCentreSize >= reportedSize || at - reportedSizeAt > REPORT_NANOSECONDS) {
            reportedSize = dataCentreSize;
            reportedSizeAt = at;
        }
    }

    /** Records that others name a gateway of the data centre which has sent no digest to this one. */
    public void recordNamed(String gateway, long at) {
        seenAt.merge(gateway, at, Math::max);
    }

    /** Records that a gateway stops, so that it does not count any more. */
    public void recordStopping(String gateway) {
        seenAt.remove(gateway);
        heardAt.remove(gateway);
    }

    /** Forgets the gateways that have been silent for long. */
    public void forgetSilent(long now) {
        seenAt.values().removeIf(at -> now - at > MEMORY_NANOSECONDS);
        heardAt.keySet().retainAll(seenAt.keySet());
    }

    /** Returns whether this gateway knows enough of the others to take part. */
    public boolean takesPart(long now) {
        long heard = heardAt.values().stream()
                .filter(at -> now - at < HEARD_NANOSECONDS)
                .count();
        int known = Math.max(seenAt.size() + 1, now - reportedSizeAt > REPORT_NANOSECONDS ? 0 : reportedSize);
        return now - startedAt >= SETTLING_NANOSECONDS && 2 * (heard + 1) > known;
    }

    /** Returns whether this gateway started a while ago and has not heard of any other. */
    public boolean knowsNobody(long now) {
        return seenAt.isEmpty() && reportedSize == 0 && now - startedAt < LONE_NANOSECONDS;
    }

    /**
     * Returns how many gateways may send to a cold backend server without knowing of each other.
     *
     * @param requestsPerSecond the number of requests a second that it takes
     */
    public static int unknownSenders(double requestsPerSecond) {
        return (int) Math.ceil(LONE_INTERVAL_SECONDS * requestsPerSecond);
    }

    /** Returns where in its interval this gateway first sends to a backend server, from zero to one. */
    public double phase(String server) {
        return RendezvousHash.share(self, server);
    }

    /**
     * Returns how many gateways send to a cold backend server: at least as many as it takes requests a second, so that
     * none of them sends more than one a second.
     *
     * @param server the identity of the backend server
     * @param requestsPerSecond the number of requests a second that it takes
     * @return the number, zero if this gateway is not among them
     */
    public int senders(String server, double requestsPerSecond, long now) {
        int present = 1;
        int above = 0;
        for (Map.Entry<String, Long> gateway : seenAt.entrySet()) {
            if (now - gateway.getValue() < ABSENCE_NANOSECONDS) {
                present++;
                above += RendezvousHash.ranksAbove(gateway.getKey(), self, server) ? 1 : 0;
            }
        }
        int senders = (int) Math.min(present, Math.max(MINIMUM_SENDERS, Math.ceil(requestsPerSecond)));
        return above < senders ? senders : 0;
    }
}
