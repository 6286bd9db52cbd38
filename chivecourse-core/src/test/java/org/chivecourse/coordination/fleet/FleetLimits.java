package org.chivecourse.coordination.fleet;

/**
 * The sizes of the links and processors of a simulated fleet.
 *
 * <p>Two gateways of each data centre have wide links and 0.75 of a processor core, all others narrow links and 0.3.
 *
 * @param dataCentres the number of data centres
 * @param linkBackground the share of each link that other traffic takes
 * @param processorBackground the share of each processor that requests take
 * @param costs what events cost on a whole core
 */
record FleetLimits(int dataCentres, double linkBackground, double processorBackground, Costs costs) {

    private static final int WIDE_GATEWAYS_PER_DATA_CENTRE = 2;

    private static final double NARROW_BITS_PER_SECOND = 10e6;

    private static final double WIDE_BITS_PER_SECOND = 200e6;

    private static final double NARROW_PROCESSOR_SHARE = 0.3;

    private static final double WIDE_PROCESSOR_SHARE = 0.75;

    private static final long LOCAL_DELAY_NANOSECONDS = 100_000;

    private static final long REMOTE_DELAY_NANOSECONDS = 1_400_000;

    private static final long PUBLISHER_DELAY_NANOSECONDS = 4_000_000;

    /** Returns the limits of a fleet without other traffic. */
    static FleetLimits quiet(int dataCentres) {
        return new FleetLimits(dataCentres, 0, 0, Costs.DEFAULT);
    }

    FleetLimits withLinkBackground(double share) {
        return new FleetLimits(dataCentres, share, processorBackground, costs);
    }

    FleetLimits withProcessorBackground(double share) {
        return new FleetLimits(dataCentres, linkBackground, share, costs);
    }

    private boolean isWide(int gateway) {
        return gateway / dataCentres < WIDE_GATEWAYS_PER_DATA_CENTRE;
    }

    /** Returns the time for which a number of bytes occupies the link of a gateway, in nanoseconds. */
    long sendingTime(int gateway, long bytes) {
        double bitsPerSecond = isWide(gateway) ? WIDE_BITS_PER_SECOND : NARROW_BITS_PER_SECOND;
        return Math.round(bytes * 8e9 / (bitsPerSecond * (1 - linkBackground)));
    }

    /** Returns the time in which a gateway does work that takes a whole core some time, in nanoseconds. */
    long processingTime(int gateway, long wholeCoreNanoseconds) {
        double share = isWide(gateway) ? WIDE_PROCESSOR_SHARE : NARROW_PROCESSOR_SHARE;
        return Math.round(wholeCoreNanoseconds / (share * (1 - processorBackground)));
    }

    /** Returns the time that each bit travels from a gateway or the publisher to a gateway, in nanoseconds. */
    long delay(int sender, int recipient) {
        if (sender == FleetLinks.PUBLISHER) {
            return PUBLISHER_DELAY_NANOSECONDS;
        }
        return sender % dataCentres == recipient % dataCentres ? LOCAL_DELAY_NANOSECONDS : REMOTE_DELAY_NANOSECONDS;
    }

    /**
     * The time that events take on a whole core, in nanoseconds. They are assumptions, not measured.
     *
     * @param received for each message received
     * @param sent for each message sent
     * @param kilobyte for each 1,000 bytes received, which are decoded and applied
     * @param tick for each tick
     */
    record Costs(long received, long sent, long kilobyte, long tick) {

        static final Costs DEFAULT = new Costs(50_000, 30_000, 100_000, 100_000);

        /** Returns the cost of receiving a message. */
        long receiving(FleetMessage message) {
            return message.kind() == FleetMessage.Kind.TICK ? tick : received + kilobyte * message.bytes() / 1000;
        }
    }
}
