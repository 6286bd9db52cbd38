package org.chivecourse.gateway.tls;

/** Thrown when certificate or key files cannot be used for a TLS context. */
public class TlsException extends Exception {

    /**
     * Creates an exception.
     *
     * @param files describes the files, with their names
     * @param cause the reason why they cannot be used
     */
    public TlsException(String files, Throwable cause) {
        super(files + " cannot be used: " + cause.getMessage(), cause);
    }
}
