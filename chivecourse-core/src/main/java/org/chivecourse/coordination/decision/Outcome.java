package org.chivecourse.coordination.decision;

/** Whether a request that the gateway answers with an error that it generates may have run. */
public enum Outcome {
    /** No backend server that could run the request has received it or will receive it. */
    NOT_RUN,

    /** The request may have run. */
    UNKNOWN
}
