package org.chivecourse.coordination.fleet;

/** Counts what a simulated gateway sends and receives. */
final class GatewayTraffic {

    private int digestsSent;

    private int digestsReceived;

    private int datagramsLost;

    private int pullsServed;

    private long bytesSent;

    private long bytesReceived;

    void countSent(FleetMessage.Kind kind, int bytes) {
        bytesSent += bytes;
        digestsSent += kind == FleetMessage.Kind.DIGEST ? 1 : 0;
        pullsServed += kind == FleetMessage.Kind.PULL_REPLY ? 1 : 0;
    }

    void countReceived(FleetMessage.Kind kind, int bytes) {
        bytesReceived += bytes;
        digestsReceived += kind == FleetMessage.Kind.DIGEST ? 1 : 0;
    }

    void countLost() {
        datagramsLost++;
    }

    int digestsSent() {
        return digestsSent;
    }

    int digestsReceived() {
        return digestsReceived;
    }

    /** Returns the number of datagrams that were dropped at this gateway's link, in either direction. */
    int datagramsLost() {
        return datagramsLost;
    }

    int pullsServed() {
        return pullsServed;
    }

    long bytesSent() {
        return bytesSent;
    }

    long bytesReceived() {
        return bytesReceived;
    }
}
