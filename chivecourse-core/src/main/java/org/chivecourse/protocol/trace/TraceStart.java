package org.chivecourse.protocol.trace;

import org.chivecourse.coordination.host.HostSettings;

/**
 * The first line of a trace, from which a decision core like the recorded one can be created.
 *
 * @param format the version of the trace format
 * @param settings the settings that the decision core was created with
 * @param seed the seed of the decision core's random numbers
 * @param complete whether the trace holds every event since the decision core was created, so that it can be replayed
 */
public record TraceStart(int format, HostSettings settings, long seed, boolean complete) {

    /** The version of the trace format that is written and read. Traces of any other version are rejected. */
    public static final int FORMAT = 1;
}
