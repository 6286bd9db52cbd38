package org.chivecourse.coordination.decision;

/** Whether a request that a gateway answers with a generated error may have run. */
public enum Outcome {
    /** No backend server that could run the request has received it or will receive it. */
    NOT_RUN,

    /** The request may have run. */
    UNKNOWN
}
