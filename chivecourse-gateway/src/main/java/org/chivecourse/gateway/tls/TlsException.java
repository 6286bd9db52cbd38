package org.chivecourse.gateway.tls;

/** Signals that files do not make a TLS context. */
public class TlsException extends Exception {

    /**
     * Creates an exception.
     *
     * @param files the files
     * @param cause what is wrong with them
     */
    public TlsException(String files, Throwable cause) {
        super(files + " cannot be used: " + cause.getMessage(), cause);
    }
}
