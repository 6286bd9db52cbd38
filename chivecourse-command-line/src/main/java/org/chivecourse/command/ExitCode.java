package org.chivecourse.command;

/** The exit codes of commands. */
final class ExitCode {

    /** The command did what was asked. */
    static final int SUCCESS = 0;

    /** A check failed. */
    static final int CHECK_FAILED = 1;

    /** The command was used wrongly or its input cannot be used. */
    static final int BAD_INPUT = 2;

    /** Not to be constructed. */
    private ExitCode() {}
}
