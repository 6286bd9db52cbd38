package org.chivecourse.gateway.audit;

import java.time.Instant;

/**
 * A change of the state that a gateway holds, or an event of the gateway's own lifecycle.
 *
 * @param time when the change was recorded
 * @param host the name of the host that recorded the change
 * @param actor the component that made the change
 * @param subject the kind of object that changed
 * @param name the name of the object that changed
 * @param from the previous value, empty if there was none
 * @param to the new value
 * @param cause why the object changed
 * @param revision the revision of the configuration in force or of the published item, zero for lifecycle events
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
