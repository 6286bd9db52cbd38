package org.chivecourse.gateway.daemon;

import java.time.Clock;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import org.jboss.logging.Logger;

/** Records when each replica of the platform's services last answered, and why it has failed since. */
public final class PlatformReplicas {

    /** Logs when a replica fails and when it recovers. */
    private static final Logger LOGGER = Logger.getLogger(PlatformReplicas.class);

    /** Supplies the timestamps of answers. */
    private final Clock clock;

    /** The state of each replica by its address. */
    private final Map<String, ReplicaStatus> statuses = new TreeMap<>();

    /**
     * Creates an empty record.
     *
     * @param clock supplies the timestamps of answers
     */
    PlatformReplicas(Clock clock) {
        this.clock = clock;
    }

    /**
     * Records that a replica answered.
     *
     * @param address the address of the replica
     */
    synchronized void recordSuccess(String address) {
        ReplicaStatus previous = statuses.put(address, new ReplicaStatus(clock.instant(), ""));
        if (previous != null && !previous.failure().isEmpty()) {
            LOGGER.infof("platform replica %s answers again", address);
        }
    }

    /**
     * Records that a replica could not be read. Only the first of consecutive failures is logged.
     *
     * @param address the address of the replica
     * @param reason why it could not be read
     */
    synchronized void recordFailure(String address, String reason) {
        ReplicaStatus previous = statuses.get(address);
        Instant lastReached = previous == null ? Instant.EPOCH : previous.lastReached();
        statuses.put(address, new ReplicaStatus(lastReached, reason));
        if (previous == null || previous.failure().isEmpty()) {
            LOGGER.warnf("platform replica %s cannot be read: %s", address, reason);
        }
    }

    /** Returns a snapshot of the state of each replica by its address. */
    public synchronized Map<String, ReplicaStatus> statuses() {
        return new TreeMap<>(statuses);
    }

    /**
     * The state of a replica.
     *
     * @param lastReached when the replica last answered, {@link Instant#EPOCH} if never
     * @param failure why it could not be read since then, empty if the last read succeeded
     */
    public record ReplicaStatus(Instant lastReached, String failure) {}
}
