package org.chivecourse.gateway.audit;

import java.time.Instant;

/**
 * A change that operators see.
 *
 * @param time when it was recorded
 * @param host the name of the host that recorded it
 * @param actor who or what made the change
 * @param subject the kind of thing that changed
 * @param name the name of the thing that changed
 * @param from the value before
 * @param to the value now
 * @param cause why it changed
 * @param revision the revision of the configuration in force
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
