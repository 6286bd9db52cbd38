package org.chivecourse.configuration.model;

/** A method of HTTP with what RFC 9110 says of its repetition. */
public enum Method {
    /** Reads a resource. */
    GET(true),

    /** Reads the header fields of a resource. */
    HEAD(true),

    /** Asks for the communication options of a resource. */
    OPTIONS(true),

    /** Replaces a resource. */
    PUT(true),

    /** Removes a resource. */
    DELETE(true),

    /** Processes a representation in a way that the resource defines. */
    POST(false),

    /** Changes a part of a resource. */
    PATCH(false);

    /** Whether RFC 9110 defines the method as idempotent. */
    private final boolean idempotent;

    /**
     * Creates a method.
     *
     * @param idempotent whether RFC 9110 defines the method as idempotent
     */
    Method(boolean idempotent) {
        this.idempotent = idempotent;
    }

    /**
     * Returns whether RFC 9110 defines the method as idempotent.
     *
     * @return {@code true} if running a request twice has the effect of running it once
     */
    public boolean idempotent() {
        return idempotent;
    }
}
