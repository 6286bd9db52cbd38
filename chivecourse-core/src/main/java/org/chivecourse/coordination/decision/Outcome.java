package org.chivecourse.coordination.decision;

/** What a gateway states of a request that it gave up on. */
public enum Outcome {
    /** Nothing that could act on the request has received it, now or later. */
    NOT_RUN,

    /** The request may have run. */
    UNKNOWN
}
