package org.chivecourse.transport.head;

import java.util.concurrent.atomic.AtomicLong;

/** The memory that is reserved for what arrives on a connection. Safe for use by several threads. */
final class ArrivingMemory {

    /** The memory of all heads. */
    private final HeadBudget budget;

    /** Ends the connection. */
    private final Runnable end;

    /** The bytes that are reserved. */
    private final AtomicLong reservedBytes = new AtomicLong();

    /** Whether the memory has been taken for another head, so that the connection has to end. */
    private volatile boolean surrendered;

    /**
     * Creates an instance without memory.
     *
     * @param budget the memory of all heads
     * @param end ends the connection, on its event loop
     */
    ArrivingMemory(HeadBudget budget, Runnable end) {
        this.budget = budget;
        this.end = end;
    }

    /** Adds bytes that have been reserved. */
    void add(long bytes) {
        reservedBytes.addAndGet(bytes);
    }

    /**
     * Returns bytes beyond a number, if there are more.
     *
     * @param kept the number of bytes
     */
    void releaseBeyond(long kept) {
        long before = reservedBytes.getAndUpdate(bytes -> Math.min(bytes, kept));
        budget.release(Math.max(0, before - kept));
    }

    /** Returns the number of reserved bytes. */
    long bytes() {
        return reservedBytes.get();
    }

    /** Returns all bytes at once for another head, and ends the connection. */
    void surrender() {
        surrendered = true;
        releaseBeyond(0);
        end.run();
    }

    /** Records that the head ended before its connection did, so that the connection goes on. */
    void restore() {
        surrendered = false;
    }

    /** Returns whether the memory has been taken for another head. */
    boolean surrendered() {
        return surrendered;
    }
}
