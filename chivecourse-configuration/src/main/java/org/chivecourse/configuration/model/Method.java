package org.chivecourse.configuration.model;

/** An HTTP method that gateways support, with its idempotency according to RFC 9110. */
public enum Method {
    /** Reads a resource. */
    GET(true),

    /** Reads the header fields of a resource. */
    HEAD(true),

    /** Requests the communication options of a resource. */
    OPTIONS(true),

    /** Replaces a resource. */
    PUT(true),

    /** Removes a resource. */
    DELETE(true),

    /** Processes a request body in a way that the resource defines. */
    POST(false),

    /** Modifies a part of a resource. */
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
     * Returns whether RFC 9110 defines the method as idempotent, so that running a request twice has the effect of
     * running it once.
     */
    public boolean idempotent() {
        return idempotent;
    }
}
