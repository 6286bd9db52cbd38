package org.chivecourse.transport.memory;

import java.util.concurrent.atomic.AtomicLong;

/** The number of bytes of memory that several owners have reserved together. Safe for use by several threads. */
public final class ByteReservation {

    /** The number of bytes that are reserved. */
    private final AtomicLong reservedBytes = new AtomicLong();

    /**
     * Reserves bytes.
     *
     * @param bytes the number of bytes
     * @param limit the largest number of bytes that may be reserved with them
     * @return {@code false} if there is not that much left, in which case nothing is reserved
     */
    public boolean reserve(long bytes, long limit) {
        if (reservedBytes.addAndGet(bytes) <= limit) {
            return true;
        }
        release(bytes);
        return false;
    }

    /**
     * Returns reserved bytes.
     *
     * @param bytes the number of bytes
     */
    public void release(long bytes) {
        reservedBytes.addAndGet(-bytes);
    }

    /** Returns the number of bytes that are reserved. */
    public long reservedBytes() {
        return reservedBytes.get();
    }
}
