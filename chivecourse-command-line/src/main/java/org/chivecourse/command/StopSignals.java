package org.chivecourse.command;

import sun.misc.Signal;

/** Handles the signals by which a process is asked to stop. */
final class StopSignals {

    /** Not to be constructed. */
    private StopSignals() {}

    /**
     * Runs an action for each signal to stop, in place of ending the process.
     *
     * @param action the action, run on a thread of its own
     */
    static void install(Runnable action) {
        Signal.handle(new Signal("TERM"), signal -> action.run());
        Signal.handle(new Signal("INT"), signal -> action.run());
    }
}
