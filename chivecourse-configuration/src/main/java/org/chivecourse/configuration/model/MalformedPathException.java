package org.chivecourse.configuration.model;

/** Signals a path that gateways and backend servers could understand differently. The message names the path. */
public final class MalformedPathException extends Exception {

    /** The version of the serialized form. */
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong with which path
     */
    public MalformedPathException(String message) {
        super(message);
    }
}
