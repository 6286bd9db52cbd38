package org.chivecourse.protocol.trace;

import java.util.List;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Event;

/**
 * An event and the decisions that followed.
 *
 * @param at the time in nanoseconds
 * @param event the event
 * @param decisions the decisions in their order
 */
public record TraceStep(long at, Event event, List<Decision> decisions) {}
