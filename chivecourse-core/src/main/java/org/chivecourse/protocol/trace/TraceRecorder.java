package org.chivecourse.protocol.trace;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.host.HostSettings;

/** Records the latest steps of a decision core in memory. Ticks that led to no decision are not recorded. */
public final class TraceRecorder {

    /** The settings that the decision core was created with. */
    private final HostSettings settings;

    /** The seed of the decision core's random numbers. */
    private final long seed;

    /** The maximum number of steps that are kept, zero to record nothing. */
    private final int maximumSteps;

    /** The steps that are kept, oldest first. */
    private final Deque<TraceStep> steps = new ArrayDeque<>();

    /** Whether every recorded step is still kept. */
    private boolean complete = true;

    /**
     * Creates an empty recorder.
     *
     * @param settings the settings that the decision core was created with
     * @param seed the seed of the decision core's random numbers
     * @param maximumSteps the maximum number of steps that are kept, zero to record nothing
     */
    public TraceRecorder(HostSettings settings, long seed, int maximumSteps) {
        this.settings = settings;
        this.seed = seed;
        this.maximumSteps = maximumSteps;
    }

    /**
     * Records a step and discards the oldest one if there are too many.
     *
     * @param handledAt the time at which the event was handled, in nanoseconds
     * @param event the event
     * @param decisions the decisions that followed
     */
    public synchronized void record(long handledAt, Event event, List<Decision> decisions) {
        if (maximumSteps == 0 || event instanceof Event.TimePassed && decisions.isEmpty()) {
            return;
        }
        if (steps.size() == maximumSteps) {
            steps.removeFirst();
            complete = false;
        }
        steps.addLast(new TraceStep(handledAt, event, List.copyOf(decisions)));
    }

    /** Returns a trace of the steps that are kept now. */
    public synchronized Trace trace() {
        TraceStart start = new TraceStart(TraceStart.FORMAT, settings, seed, complete);
        return new Trace(start, new ArrayList<>(steps));
    }
}
