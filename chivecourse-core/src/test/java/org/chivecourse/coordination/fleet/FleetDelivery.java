package org.chivecourse.coordination.fleet;

/**
 * Something that happens to a simulated gateway at a time, unless it is down or restarted by then.
 *
 * @param dueAt the time
 * @param order the number that orders deliveries of the same time
 * @param host the gateway
 * @param incarnation the incarnation of the gateway
 * @param message the message that still has to pass the gateway's link, {@code null} if none does
 * @param action what happens
 */
record FleetDelivery(long dueAt, long order, String host, int incarnation, FleetMessage message, Runnable action)
        implements Comparable<FleetDelivery> {

    /** Returns the same delivery after its message has passed the gateway's link. */
    FleetDelivery passed(long readyAt, long newOrder) {
        return new FleetDelivery(readyAt, newOrder, host, incarnation, null, action);
    }

    @Override
    public int compareTo(FleetDelivery other) {
        int byTime = Long.compare(dueAt, other.dueAt);
        return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
}
