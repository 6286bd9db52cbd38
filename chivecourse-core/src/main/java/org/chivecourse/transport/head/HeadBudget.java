package org.chivecourse.transport.head;

import org.chivecourse.transport.memory.ByteReservation;

/**
 * The memory that the heads of all connections may take together. Connections whose heads are larger than ordinary ones
 * share a half of it, so that they never keep ordinary requests out.
 */
final class HeadBudget {

    /** The number of bytes up to which the heads of a connection are ordinary. */
    private static final long ORDINARY_BYTES = 16 * 1024;

    /** The part of the memory that connections with larger heads share: a half. */
    private static final int PARTS_FOR_LARGE_HEADS = 2;

    /** The largest number of bytes that may be reserved. */
    private final long maximumBytes;

    /** The bytes that are reserved. */
    private final ByteReservation reservation = new ByteReservation();

    /**
     * Creates a budget of which nothing is reserved.
     *
     * @param maximumBytes the largest number of bytes that may be reserved
     */
    HeadBudget(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /** Returns whether the heads of a connection are ordinary if they hold a number of bytes. */
    static boolean isOrdinary(long bytes) {
        return bytes <= ORDINARY_BYTES;
    }

    /**
     * Reserves memory for the heads of a connection.
     *
     * @param held the bytes that the connection's heads hold already
     * @param bytes the further bytes
     * @return {@code false} if there is not that much left for this connection, in which case nothing is reserved
     */
    boolean reserve(long held, long bytes) {
        long limit = isOrdinary(held + bytes) ? maximumBytes : maximumBytes / PARTS_FOR_LARGE_HEADS;
        return reservation.reserve(bytes, limit);
    }

    /**
     * Returns memory of heads.
     *
     * @param bytes the number of bytes
     */
    void release(long bytes) {
        reservation.release(bytes);
    }

    /** Returns the number of bytes that are reserved. */
    long reservedBytes() {
        return reservation.reservedBytes();
    }
}
