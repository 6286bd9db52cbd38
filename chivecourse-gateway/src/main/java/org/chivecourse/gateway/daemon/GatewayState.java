package org.chivecourse.gateway.daemon;

/** The lifecycle states of a gateway, in order. The status document prints their names. */
public enum GatewayState {
    /** The gateway does not listen yet. */
    STARTING,

    /** The gateway listens and serves callers. */
    RUNNING,

    /** The gateway drains: it is not ready, and finishes its open exchanges. */
    STOPPING,

    /** The gateway has closed all connections and listeners. */
    STOPPED
}
