package org.chivecourse.command;

import sun.misc.Signal;

/** Handles the signals that request a process to stop, SIGTERM and SIGINT. */
final class StopSignals {

    /** Prevents instantiation. */
    private StopSignals() {}

    /**
     * Runs an action for each signal to stop instead of terminating the process.
     *
     * @param action the action, which the JVM runs on a new thread for each signal
     */
    static void install(Runnable action) {
        Signal.handle(new Signal("TERM"), signal -> action.run());
        Signal.handle(new Signal("INT"), signal -> action.run());
    }
}
