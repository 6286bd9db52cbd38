package org.chivecourse.protocol.trace;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.host.HostCore;

/** Runs a complete trace through a new decision core and compares the decisions. */
public final class TraceReplay {

    /** The largest number of differences that are told. */
    private static final int MAXIMUM_DIFFERENCES = 10;

    /**
     * Replays a trace.
     *
     * @param trace a complete trace
     * @return the differences, empty if the core decided as it did when the trace was recorded
     */
    public List<String> differences(Trace trace) {
        HostCore core = new HostCore(
                trace.start().settings(), new SplittableRandom(trace.start().seed()));
        List<String> differences = new ArrayList<>();
        int lineNumber = 1;
        for (TraceStep step : trace.steps()) {
            lineNumber++;
            List<Decision> decisions = new ArrayList<>();
            core.handle(step.event(), step.at(), decisions::add);
            if (!decisions.equals(step.decisions())) {
                differences.add("line " + lineNumber + ": recorded " + step.decisions() + ", replayed " + decisions);
            }
            if (differences.size() == MAXIMUM_DIFFERENCES) {
                return differences;
            }
        }
        return differences;
    }
}
