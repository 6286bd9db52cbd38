package org.chivecourse.state.server;

/**
 * The announcement of a backend server about itself.
 *
 * @param identity the name under which it announces itself
 * @param incarnation the incarnation of its process, higher for a later one with the same identity
 * @param sequence the number of the announcement within its incarnation
 * @param service the name of the service
 * @param address the IP address and the port, separated by a colon
 * @param dataCentre the name of its data centre
 * @param version the version of its software
 * @param slots the number of requests that it runs at the same time
 * @param leaving whether it accepts no new requests because it is leaving
 * @param warmUpNanoseconds the time for which it is slow after its start, in nanoseconds
 */
public record RegisteredServer(
        String identity,
        long incarnation,
        long sequence,
        String service,
        String address,
        String dataCentre,
        String version,
        int slots,
        boolean leaving,
        long warmUpNanoseconds) {

    /**
     * Returns whether this announcement precedes another one of the same backend server, by incarnation and then by
     * sequence.
     *
     * @param other the other announcement
     * @return {@code true} if this announcement is the older one
     */
    public boolean olderThan(RegisteredServer other) {
        if (incarnation != other.incarnation) {
            return incarnation < other.incarnation;
        }
        return sequence < other.sequence;
    }
}
