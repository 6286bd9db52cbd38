package org.chivecourse.coordination.fleet;

/**
 * What the spread of a configuration took.
 *
 * @param gateways the number of gateways
 * @param configurationBytes the size of the configuration
 * @param compressedBytes its compressed size
 * @param half the time after which half of the running gateways used it, in milliseconds, negative if never
 * @param last the time after which the last one used it, in milliseconds, negative if never
 * @param behind the number of gateways that did not use it within two seconds
 * @param digestsSent the digests that a gateway sent, on average, a second
 * @param digestsReceived the digests that a gateway received, on average, a second
 * @param datagramsLost the datagrams lost at links where too many bytes waited
 * @param pulls the number of pulls that were answered
 * @param mostPulls the largest number of pulls that one gateway answered
 * @param meanBytes the bytes that a gateway sent on average
 * @param mostBytes the bytes that the gateway with the most sent
 */
record SpreadFigures(
        int gateways,
        int configurationBytes,
        int compressedBytes,
        long half,
        long last,
        int behind,
        double digestsSent,
        double digestsReceived,
        int datagramsLost,
        int pulls,
        int mostPulls,
        long meanBytes,
        long mostBytes) {

    static final String HEADING = "| case | gateways | bytes / compressed | half, ms | last, ms | behind at 2.0 s "
            + "| digests sent / received a gateway and second | lost at links | pulls (most) "
            + "| bytes sent, mean / most |";

    /** Returns the figures as a row of a table. */
    String row(String name) {
        return "| %s | %d | %,d / %,d | %d | %d | %d | %.0f / %.0f | %,d | %,d (%d) | %,d / %,d |"
                .formatted(
                        name,
                        gateways,
                        configurationBytes,
                        compressedBytes,
                        half,
                        last,
                        behind,
                        digestsSent,
                        digestsReceived,
                        datagramsLost,
                        pulls,
                        mostPulls,
                        meanBytes,
                        mostBytes);
    }
}
