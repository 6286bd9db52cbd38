package org.chivecourse.command;

/** Defines the exit codes of commands. */
final class ExitCode {

    /** The command completed and all checks passed. */
    static final int SUCCESS = 0;

    /** The command completed, but a check failed. */
    static final int CHECK_FAILED = 1;

    /** The arguments or the input are invalid. */
    static final int BAD_INPUT = 2;

    /** Prevents instantiation. */
    private ExitCode() {}
}
