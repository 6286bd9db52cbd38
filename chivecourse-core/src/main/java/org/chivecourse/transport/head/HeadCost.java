package org.chivecourse.transport.head;

/**
 * The lines and bytes of a head, and what they cost in memory once they are decoded.
 *
 * @param lines the number of lines
 * @param bytes the number of bytes
 */
record HeadCost(long lines, long bytes) {

    /** The cost of nothing. */
    static final HeadCost NONE = new HeadCost(0, 0);

    /** What a line costs beside its bytes: its entry, name and value, and its entry in the head that is forwarded. */
    private static final long BYTES_PER_LINE = 200;

    /** The copies of each byte: as it was decoded, and as it is forwarded. */
    private static final long COPIES = 2;

    /** Returns the sum of this cost and further lines and bytes. */
    HeadCost plus(long furtherLines, long furtherBytes) {
        return new HeadCost(lines + furtherLines, bytes + furtherBytes);
    }

    /** Returns the memory in bytes. */
    long memory() {
        return lines * BYTES_PER_LINE + bytes * COPIES;
    }
}
