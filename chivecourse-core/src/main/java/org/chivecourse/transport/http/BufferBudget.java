package org.chivecourse.transport.http;

import org.chivecourse.transport.memory.ByteReservation;

/** The memory that the bodies which are kept whole may take together. */
public final class BufferBudget {

    /** The largest number of bytes that may be reserved. */
    private final long maximumBytes;

    /** The bytes that are reserved. */
    private final ByteReservation reservation = new ByteReservation();

    /**
     * Creates a budget of which nothing is reserved.
     *
     * @param maximumBytes the largest number of bytes that may be reserved
     */
    BufferBudget(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /**
     * Reserves memory for a body.
     *
     * @param bytes the size of the body
     * @return {@code false} if there is not that much left, in which case nothing is reserved
     */
    boolean reserve(long bytes) {
        return reservation.reserve(bytes, maximumBytes);
    }

    /**
     * Returns the memory of a body.
     *
     * @param bytes the size of the body
     */
    void release(long bytes) {
        reservation.release(bytes);
    }

    /** Returns the number of bytes that are reserved. */
    long reservedBytes() {
        return reservation.reservedBytes();
    }
}
