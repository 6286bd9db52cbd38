package org.chivecourse.protocol.http;

/** Signals that a request is malformed or can be read in two ways. */
public class BadRequestException extends Exception {

    /**
     * Creates an exception.
     *
     * @param problem what is wrong, with the offending value
     */
    public BadRequestException(String problem) {
        super(problem);
    }
}
