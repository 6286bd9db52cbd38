package org.chivecourse.coordination.fleet;

/** The fleets through which configurations are spread in tests. */
enum SpreadFleet {
    /** Thirteen gateways in three data centres. */
    SMALL(13, 3),
    /** The gateways of the grown second site, in four data centres. */
    GROWN(136, 4),
    /** Three hundred gateways in six data centres. */
    LARGE(300, 6);

    private final int gateways;

    private final int dataCentres;

    SpreadFleet(int gateways, int dataCentres) {
        this.gateways = gateways;
        this.dataCentres = dataCentres;
    }

    int gateways() {
        return gateways;
    }

    int dataCentres() {
        return dataCentres;
    }
}
