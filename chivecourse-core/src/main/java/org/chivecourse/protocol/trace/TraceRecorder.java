package org.chivecourse.protocol.trace;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.host.HostSettings;

/** Keeps the latest steps of a decision core in memory, without ticks that changed nothing. */
public final class TraceRecorder {

    /** What the decision core knew of its host from the start. */
    private final HostSettings settings;

    /** The seed of its randomness. */
    private final long seed;

    /** The largest number of steps kept. */
    private final int maximumSteps;

    /** The steps, the oldest first. */
    private final Deque<TraceStep> steps = new ArrayDeque<>();

    /** Whether no step was let go. */
    private boolean complete = true;

    /**
     * Creates an empty recorder.
     *
     * @param settings what the decision core knew of its host from the start
     * @param seed the seed of its randomness
     * @param maximumSteps the largest number of steps kept, zero to record nothing
     */
    public TraceRecorder(HostSettings settings, long seed, int maximumSteps) {
        this.settings = settings;
        this.seed = seed;
        this.maximumSteps = maximumSteps;
    }

    /**
     * Records a step.
     *
     * @param at the time in nanoseconds
     * @param event the event
     * @param decisions the decisions that followed
     */
    public synchronized void record(long at, Event event, List<Decision> decisions) {
        if (maximumSteps == 0 || event instanceof Event.TimePassed && decisions.isEmpty()) {
            return;
        }
        if (steps.size() == maximumSteps) {
            steps.removeFirst();
            complete = false;
        }
        steps.addLast(new TraceStep(at, event, List.copyOf(decisions)));
    }

    /**
     * Returns the trace so far.
     *
     * @return the trace
     */
    public synchronized Trace trace() {
        TraceStart start = new TraceStart(TraceStart.FORMAT, settings, seed, complete);
        return new Trace(start, new ArrayList<>(steps));
    }
}
