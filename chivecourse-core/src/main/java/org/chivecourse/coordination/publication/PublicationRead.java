package org.chivecourse.coordination.publication;

/**
 * How a gateway is to read from the publisher.
 *
 * @param waitMilliseconds the time for which the publisher holds the call open while there are no changes, in
 *     milliseconds, zero if the gateway is not to read
 */
public record PublicationRead(int waitMilliseconds) {

    /** The part of the longest time that a watch takes at least. */
    private static final int MINIMUM_WAIT_DIVISOR = 10;

    /** Not to read. */
    public static final PublicationRead NONE = new PublicationRead(0);

    /** To read once, with an answer that comes at once even if there are no changes. */
    public static final PublicationRead ONCE = new PublicationRead(1);

    /** To read with an answer that comes when there are changes, or after the longest time. */
    public static final PublicationRead WATCH = new PublicationRead(PublicationPoller.WATCH_WAIT_MILLISECONDS);

    /**
     * Returns how to watch so that answers without changes come midway between those that another gateway gets.
     *
     * @param millisecondsSinceOtherAnswer the time since the other gateway's last answer, negative if all have come
     *     together with those of this one
     * @return the watch, at most as long as {@link #WATCH}
     */
    public static PublicationRead watchBetween(long millisecondsSinceOtherAnswer) {
        long cycle = WATCH.waitMilliseconds;
        long wait = Math.floorMod(cycle / 2 - Math.max(0, millisecondsSinceOtherAnswer), cycle);
        return wait < cycle / MINIMUM_WAIT_DIVISOR ? WATCH : new PublicationRead((int) wait);
    }
}
