package org.chivecourse.state.publication;

/**
 * Revisions of published items that are ordered across the epochs of the publisher.
 *
 * <p>A publisher that was restored from a copy starts a new epoch, in which it assigns numbers again that it had
 * assigned before. A revision therefore combines the epoch and the number within it, so that each revision of a later
 * epoch is higher than all of earlier ones. The number takes the last twelve decimal digits: {@code 2000000000098} is
 * number 98 of epoch 2. Revisions of epoch zero, which a publisher without epochs stays in, equal their numbers.
 */
public final class PublicationRevision {

    /** The exclusive upper bound of the numbers within an epoch. */
    private static final long NUMBERS_PER_EPOCH = 1_000_000_000_000L;

    /** The highest epoch. */
    public static final long MAXIMUM_EPOCH = Long.MAX_VALUE / NUMBERS_PER_EPOCH - 1;

    /** This class has only static methods. */
    private PublicationRevision() {}

    /**
     * Combines an epoch and a number.
     *
     * @param epoch the epoch, limited to the range from zero to {@link #MAXIMUM_EPOCH}
     * @param number the number within the epoch, limited to the range of numbers
     * @return the revision
     */
    public static long of(long epoch, long number) {
        long limitedEpoch = Math.min(Math.max(0, epoch), MAXIMUM_EPOCH);
        long limitedNumber = Math.min(Math.max(0, number), NUMBERS_PER_EPOCH - 1);
        return limitedEpoch * NUMBERS_PER_EPOCH + limitedNumber;
    }

    /**
     * Returns the epoch of a revision.
     *
     * @param revision the revision, not negative
     * @return the epoch
     */
    public static long epoch(long revision) {
        return revision / NUMBERS_PER_EPOCH;
    }

    /**
     * Returns the number of a revision within its epoch.
     *
     * @param revision the revision, not negative
     * @return the number
     */
    public static long number(long revision) {
        return revision % NUMBERS_PER_EPOCH;
    }

    /**
     * Returns whether two revisions belong to the same epoch.
     *
     * @param first a revision, not negative
     * @param second another revision, not negative
     * @return {@code true} if only their numbers differ
     */
    public static boolean sameEpoch(long first, long second) {
        return epoch(first) == epoch(second);
    }
}
