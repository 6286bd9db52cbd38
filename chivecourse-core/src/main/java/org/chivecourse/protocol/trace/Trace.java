package org.chivecourse.protocol.trace;

import java.util.List;

/**
 * A record of the events of a host and the decisions that followed.
 *
 * @param start what the trace starts from
 * @param steps the steps in their order
 */
public record Trace(TraceStart start, List<TraceStep> steps) {

    /**
     * Creates a trace whose steps are copied.
     */
    public Trace {
        steps = List.copyOf(steps);
    }
}
