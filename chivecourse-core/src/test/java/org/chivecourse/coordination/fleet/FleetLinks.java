package org.chivecourse.coordination.fleet;

/** The links and processors of a simulated fleet, which decide when a message reaches its recipient. */
interface FleetLinks {

    /** The time of a message that never arrives. */
    long LOST = Long.MAX_VALUE;

    /** The number that stands for the publisher where the number of a sending gateway is expected. */
    int PUBLISHER = -1;

    /** Returns the number of data centres over which the gateways are spread in turn. */
    int dataCentres();

    /** Returns whether a pull is answered with what the other gateway knows when it is requested. */
    boolean answersPullsAtOnce();

    /** Returns whether a gateway handles a tick in a step of the simulation that ends at a time. */
    boolean ticks(int gateway, long stepEnd);

    /** Returns the time at which what is due within a step of the simulation is handled. */
    long handledAt(long dueAt, long stepEnd);

    /** Returns the time at which a message reaches the link of its recipient, or {@link #LOST}. */
    long arrival(FleetMessage message, int recipient, long now);

    /** Returns the time at which the recipient has received and processed a message, or {@link #LOST}. */
    long readyAt(FleetMessage message, int recipient, long arrival);
}
