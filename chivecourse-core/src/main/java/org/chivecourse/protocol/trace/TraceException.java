package org.chivecourse.protocol.trace;

/** Thrown when a text is not a trace in the format of this version. */
public class TraceException extends Exception {

    /**
     * Creates an exception.
     *
     * @param problem a description of the problem, which starts with the name of the source and the number of the line
     */
    public TraceException(String problem) {
        super(problem);
    }
}
