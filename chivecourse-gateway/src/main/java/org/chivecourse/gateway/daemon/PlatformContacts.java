package org.chivecourse.gateway.daemon;

import java.time.Clock;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import org.jboss.logging.Logger;

/** What is known of the platform's replicas: when each was last reached and why not since. */
public final class PlatformContacts {

    /** The log. */
    private static final Logger LOGGER = Logger.getLogger(PlatformContacts.class);

    /** Tells the time. */
    private final Clock clock;

    /** The contacts by address. */
    private final Map<String, Contact> contacts = new TreeMap<>();

    /**
     * Creates contacts with no replica.
     *
     * @param clock tells the time
     */
    PlatformContacts(Clock clock) {
        this.clock = clock;
    }

    /**
     * Records that a replica answered.
     *
     * @param address the address of the replica
     */
    synchronized void reached(String address) {
        Contact before = contacts.put(address, new Contact(clock.instant(), ""));
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
    synchronized void failed(String address, String reason) {
        Contact before = contacts.get(address);
        Instant last = before == null ? Instant.EPOCH : before.lastReached();
        contacts.put(address, new Contact(last, reason));
        if (before == null || before.failure().isEmpty()) {
            LOGGER.warnf("platform replica %s cannot be read: %s", address, reason);
        }
    }

    /**
     * Returns the contacts.
     *
     * @return the contacts by address
     */
    public synchronized Map<String, Contact> all() {
        return new TreeMap<>(contacts);
    }

    /**
     * What is known of a replica.
     *
     * @param lastReached when it last answered, {@link Instant#EPOCH} if never
     * @param failure why it could not be read since, empty if it answered
     */
    public record Contact(Instant lastReached, String failure) {}
}
