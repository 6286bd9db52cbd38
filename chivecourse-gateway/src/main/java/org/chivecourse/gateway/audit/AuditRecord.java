package org.chivecourse.gateway.audit;

import java.time.Instant;

/**
 * A change of what a gateway knows, or an event in the life of the gateway itself.
 *
 * @param time when it was recorded
 * @param host the name of the host that recorded it
 * @param actor the component that made the change
 * @param subject the kind of object that changed
 * @param name the name of the object that changed
 * @param from the previous value, empty if there was none
 * @param to the new value
 * @param cause why it changed
 * @param revision the revision of the configuration in force or of the published item, zero for process events
 */
public record AuditRecord(
        Instant time,
        String host,
        String actor,
        String subject,
        String name,
        String from,
        String to,
        String cause,
        long revision) {}
