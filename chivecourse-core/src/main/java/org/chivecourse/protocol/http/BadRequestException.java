package org.chivecourse.protocol.http;

/**
 * Thrown when a request is malformed, or so ambiguous that a backend server could interpret it differently from the
 * gateway.
 */
public class BadRequestException extends Exception {

    /**
     * Creates an exception.
     *
     * @param problem a description of the problem, with the offending value
     */
    public BadRequestException(String problem) {
        super(problem);
    }
}
