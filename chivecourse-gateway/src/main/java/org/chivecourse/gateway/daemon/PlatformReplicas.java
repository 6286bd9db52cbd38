package org.chivecourse.gateway.daemon;

import java.time.Clock;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import org.jboss.logging.Logger;

/** What is known of the platform's replicas: when each was last reached and why not since. */
public final class PlatformReplicas {

    /** The log. */
    private static final Logger LOGGER = Logger.getLogger(PlatformReplicas.class);

    /** Tells the time. */
    private final Clock clock;

    /** The contacts by address. */
    private final Map<String, ReplicaStatus> statuses = new TreeMap<>();

    /**
     * Creates contacts with no replica.
     *
     * @param clock tells the time
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
        ReplicaStatus before = statuses.put(address, new ReplicaStatus(clock.instant(), ""));
        if (before != null && !before.failure().isEmpty()) {
            LOGGER.infof("platform replica %s answers again", address);
        }
    }

    /**
     * Records that a replica could not be read.
     *
     * @param address the address of the replica
     * @param reason what happened
     */
    synchronized void recordFailure(String address, String reason) {
        ReplicaStatus before = statuses.get(address);
        Instant last = before == null ? Instant.EPOCH : before.lastReached();
        statuses.put(address, new ReplicaStatus(last, reason));
        if (before == null || before.failure().isEmpty()) {
            LOGGER.warnf("platform replica %s cannot be read: %s", address, reason);
        }
    }

    /**
     * Returns the contacts.
     *
     * @return the contacts by address
     */
    public synchronized Map<String, ReplicaStatus> statuses() {
        return new TreeMap<>(statuses);
    }

    /**
     * What is known of a replica.
     *
     * @param lastReached when it last answered, {@link Instant#EPOCH} if never
     * @param failure why it could not be read since, empty if it answered
     */
    public record ReplicaStatus(Instant lastReached, String failure) {}
}
