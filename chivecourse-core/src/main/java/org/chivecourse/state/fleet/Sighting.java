package org.chivecourse.state.fleet;

import org.chivecourse.state.server.LoadReport;

/**
 * What a gateway saw of a backend server.
 *
 * @param server the identity of the backend server
 * @param kind what was seen
 * @param report the load that it stated, {@code null} unless it stated one
 * @param seenAt the time at which it was seen, in nanoseconds of the clock of the host that holds this record
 */
public record Sighting(String server, SightingKind kind, LoadReport report, long seenAt) {}
