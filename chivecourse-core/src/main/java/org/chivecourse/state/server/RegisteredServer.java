package org.chivecourse.state.server;

/**
 * A backend server as it announced itself.
 *
 * @param identity the name under which it announces itself
 * @param incarnation the number of its life, higher for a later one under the same name
 * @param sequence the number of the announcement within its life
 * @param service the name of the service
 * @param address the IP number and the port, separated by a colon
 * @param dataCentre the name of the data centre it stands in
 * @param version the version of its software
 * @param slots the number of requests it runs at the same time
 * @param leaving whether it takes no new requests since it leaves
 * @param warmUpNanoseconds the time for which it stays slow after its start, in nanoseconds
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
     * Returns whether this announcement was made before another one of the same backend server.
     *
     * @param other the other announcement
     * @return {@code true} if it is of an earlier life, or an earlier one of the same life
     */
    public boolean olderThan(RegisteredServer other) {
        if (incarnation != other.incarnation) {
            return incarnation < other.incarnation;
        }
        return sequence < other.sequence;
    }
}
