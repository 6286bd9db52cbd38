package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.List;

/** Runs actions at given times of a simulation. */
final class SimulatedTimers {

    private final List<Due> due = new ArrayList<>();

    void schedule(long atMilliseconds, Runnable action) {
        due.add(new Due(atMilliseconds, action));
    }

    /** Runs the actions that are due, except those that they schedule themselves. */
    void run(long nowMilliseconds) {
        List<Due> now =
                due.stream().filter(action -> action.at <= nowMilliseconds).toList();
        due.removeAll(now);
        now.forEach(action -> action.action.run());
    }

    private record Due(long at, Runnable action) {}
}
