package org.chivecourse.protocol.trace;

import java.util.List;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Event;

/**
 * An event and the decisions that followed from it.
 *
 * @param at the time at which the event was handled, in nanoseconds of the host's monotonic clock
 * @param event the event
 * @param decisions the decisions in the order in which they were made, possibly none
 */
public record TraceStep(long at, Event event, List<Decision> decisions) {}
