package org.chivecourse.protocol.trace;

/** Signals that a text is not a trace. */
public class TraceException extends Exception {

    /**
     * Creates an exception.
     *
     * @param problem what is wrong, with the source and the line
     */
    public TraceException(String problem) {
        super(problem);
    }
}
