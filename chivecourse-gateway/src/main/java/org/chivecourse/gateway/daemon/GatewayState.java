package org.chivecourse.gateway.daemon;

/** The states of a gateway. */
public enum GatewayState {
    /** The gateway does not listen yet. */
    STARTING,

    /** The gateway listens. */
    RUNNING,

    /** The gateway finishes the exchanges it has. */
    STOPPING,

    /** The gateway has closed everything. */
    STOPPED
}
