package org.chivecourse.transport.head;

import org.chivecourse.transport.memory.OldestFirst;

/**
 * The heads that have begun to arrive and not ended, on connections without an exchange. Where an ordinary head finds
 * no memory, the oldest of them are ended, so that heads which never end do not keep ordinary requests out.
 */
final class UnfinishedHeads {

    /** The memory of all heads. */
    private final HeadBudget budget;

    /** The heads, the oldest first. */
    private final OldestFirst<ArrivingMemory> heads = new OldestFirst<>();

    /**
     * Creates an instance without heads.
     *
     * @param budget the memory of all heads
     */
    UnfinishedHeads(HeadBudget budget) {
        this.budget = budget;
    }

    /**
     * Reserves memory for the heads of a connection, and ends unfinished heads of others for it if these are ordinary.
     *
     * @param held the bytes that the connection's heads hold already
     * @param bytes the further bytes
     * @return {@code false} if there is not that much left for this connection, in which case nothing is reserved
     */
    boolean reserve(long held, long bytes) {
        while (!budget.reserve(held, bytes)) {
            ArrivingMemory oldest =
                    HeadBudget.isOrdinary(held + bytes) ? heads.takeOldest().orElse(null) : null;
            if (oldest == null) {
                return false;
            }
            oldest.surrender();
        }
        return true;
    }

    /**
     * Counts a head among those that are unfinished.
     *
     * @param head the memory of the head
     */
    void add(ArrivingMemory head) {
        heads.add(head);
    }

    /**
     * Records that a head is complete, or that its connection has ended.
     *
     * @param head the memory of the head
     */
    void remove(ArrivingMemory head) {
        heads.remove(head);
    }
}
