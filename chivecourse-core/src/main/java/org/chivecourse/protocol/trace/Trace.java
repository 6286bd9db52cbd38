package org.chivecourse.protocol.trace;

import java.util.List;

/**
 * A recorded sequence of events of a host with the decisions that each of them led to.
 *
 * @param start the settings and the seed that the decision core was created with
 * @param steps the steps in the order in which they happened
 */
public record Trace(TraceStart start, List<TraceStep> steps) {

    /** Creates a trace with a copy of the steps. */
    public Trace {
        steps = List.copyOf(steps);
    }
}
