package org.chivecourse.gateway.daemon;

/** Thrown when a gateway cannot be created or started. */
public class GatewayException extends Exception {

    /**
     * Creates an exception.
     *
     * @param problem the problem, including the offending value
     * @param cause the underlying failure
     */
    public GatewayException(String problem, Throwable cause) {
        super(problem, cause);
    }
}
