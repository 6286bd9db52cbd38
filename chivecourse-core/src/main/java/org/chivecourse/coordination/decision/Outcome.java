package org.chivecourse.coordination.decision;

/** What a gateway guarantees about a request that it did not get answered. */
public enum Outcome {
    /** No backend server that could run the request has received it or will receive it. */
    NOT_RUN,

    /** The request may have run. */
    UNKNOWN
}
