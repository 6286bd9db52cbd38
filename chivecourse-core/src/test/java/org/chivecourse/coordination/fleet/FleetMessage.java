package org.chivecourse.coordination.fleet;

/**
 * A message on the links of a simulated fleet.
 *
 * @param kind what it is
 * @param sender the number of the gateway that sends it, or {@link FleetLinks#PUBLISHER}
 * @param bytes its encoded size, without the headers of the lower layers
 */
record FleetMessage(Kind kind, int sender, int bytes) {

    /** The encoded size of the request for a pull, in bytes. */
    private static final int PULL_REQUEST_BYTES = 32;

    static FleetMessage tick(int gateway) {
        return new FleetMessage(Kind.TICK, gateway, 0);
    }

    static FleetMessage pullRequest(int sender) {
        return new FleetMessage(Kind.PULL_REQUEST, sender, PULL_REQUEST_BYTES);
    }

    /** The kinds of messages. */
    enum Kind {
        /** The event of a timer, which passes no link. */
        TICK,
        /** A digest between gateways, which may be lost. */
        DIGEST,
        /** The request for a pull on a connection that is opened for it. */
        PULL_REQUEST,
        /** The reply to a pull. */
        PULL_REPLY,
        /** What the publisher answers. */
        PUBLICATION;

        /** Returns whether messages of this kind are dropped where too many bytes wait. */
        boolean isDatagram() {
            return this == DIGEST;
        }
    }
}
