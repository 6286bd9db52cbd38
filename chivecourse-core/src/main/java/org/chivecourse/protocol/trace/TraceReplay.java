package org.chivecourse.protocol.trace;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.host.HostCore;

/** Replays a complete trace in a new decision core and compares the decisions with the recorded ones. */
public final class TraceReplay {

    /** The maximum number of differences that are reported. The replay ends with the last of them. */
    private static final int MAXIMUM_DIFFERENCES = 10;

    /**
     * Replays a trace.
     *
     * @param trace the trace, which has to be complete
     * @return a description of each step whose decisions differ, empty if the decision core decided as recorded
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
