package org.chivecourse.protocol.trace;

import org.chivecourse.coordination.host.HostSettings;

/**
 * The first line of a trace.
 *
 * @param format the version of the trace format
 * @param settings what the decision core knew of its host from the start
 * @param seed the seed of its randomness
 * @param complete whether the trace holds every event since the start of the core
 */
public record TraceStart(int format, HostSettings settings, long seed, boolean complete) {

    /** The version of the trace format. */
    public static final int FORMAT = 1;
}
