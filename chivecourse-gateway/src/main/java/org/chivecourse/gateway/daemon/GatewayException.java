package org.chivecourse.gateway.daemon;

/** Signals that a gateway could not start. */
public class GatewayException extends Exception {

    /**
     * Creates an exception.
     *
     * @param problem what went wrong, with the offending value
     * @param cause the cause
     */
    public GatewayException(String problem, Throwable cause) {
        super(problem, cause);
    }
}
