package org.chivecourse.coordination.transfer;

/**
 * The share of a host's network link that large bodies may take together, so that small requests and answers find the
 * rest free. Times are in nanoseconds of one monotonic clock.
 */
public interface LinkShare {

    /** The number of bytes of each body that do not count, which covers small bodies. */
    long UNCOUNTED_BYTES = 64 * 1024;

    /**
     * Returns the share of a link.
     *
     * @param bytesPerSecond the bandwidth of the link in each direction, zero if it is not known
     * @return the share, which bounds nothing if the bandwidth is not known
     */
    static LinkShare ofBandwidth(long bytesPerSecond) {
        return bytesPerSecond == 0 ? Unbounded.INSTANCE : new OfBandwidth(bytesPerSecond);
    }

    /**
     * Admits a large body, unless the ones before it leave no time for it. Each body that was admitted has to be ended.
     *
     * @param bytes the size of the body
     * @param remainingNanoseconds the time within which it has to be transferred, zero if it is not bounded
     * @return whether the body may begin
     */
    boolean begin(long bytes, long remainingNanoseconds);

    /**
     * Ends a body that was admitted.
     *
     * @param bytes the size of the body
     */
    void end(long bytes);

    /**
     * Counts a transferred part of a large body.
     *
     * @param bytes the size of the part
     * @param now the current time
     * @return the time for which no further part of the same body may be transferred
     */
    long pauseNanosecondsAfter(int bytes, long now);

    /** Returns the time after which the bodies that were admitted have been transferred at the latest. */
    long backlogNanoseconds();

    /** Returns the number of bytes of the large bodies that were admitted and have not ended, which metrics report. */
    long openBytes();

    /** The share of a link whose bandwidth is known. */
    final class OfBandwidth implements LinkShare {

        /** The share of the bandwidth that is left to large bodies. */
        private static final double LARGE_BODY_SHARE = 0.75;

        /** The number of nanoseconds in a second. */
        private static final double NANOSECONDS_PER_SECOND = 1_000_000_000.0;

        /** The longest time for which parts may arrive ahead of the share without a pause. */
        private static final long BURST_NANOSECONDS = 20_000_000;

        /** The bytes that large bodies may transfer in a nanosecond. */
        private final double bytesPerNanosecond;

        /** The number of bytes of the bodies that were admitted and have not ended. */
        private long openBytes;

        /** The time until which the share is taken by the parts transferred so far. */
        private long takenUntil;

        /** Whether a part has been transferred. */
        private boolean begun;

        /**
         * Creates a share of which nothing is taken.
         *
         * @param bytesPerSecond the bandwidth of the link in each direction
         */
        public OfBandwidth(long bytesPerSecond) {
            bytesPerNanosecond = LARGE_BODY_SHARE * bytesPerSecond / NANOSECONDS_PER_SECOND;
        }

        @Override
        public synchronized boolean begin(long bytes, long remainingNanoseconds) {
            boolean inTime = (openBytes + bytes) / bytesPerNanosecond <= remainingNanoseconds;
            if (remainingNanoseconds > 0 && !inTime) {
                return false;
            }
            openBytes += bytes;
            return true;
        }

        @Override
        public synchronized void end(long bytes) {
            openBytes -= bytes;
        }

        @Override
        public synchronized long pauseNanosecondsAfter(int bytes, long now) {
            boolean idle = !begun || takenUntil - now < 0;
            takenUntil = (idle ? now : takenUntil) + (long) (bytes / bytesPerNanosecond);
            begun = true;
            return Math.max(0, takenUntil - now - BURST_NANOSECONDS);
        }

        @Override
        public synchronized long backlogNanoseconds() {
            return (long) (openBytes / bytesPerNanosecond);
        }

        @Override
        public synchronized long openBytes() {
            return openBytes;
        }
    }

    /** The share of a link whose bandwidth is not known. */
    enum Unbounded implements LinkShare {
        /** The only instance. */
        INSTANCE;

        @Override
        public boolean begin(long bytes, long remainingNanoseconds) {
            return true;
        }

        @Override
        public void end(long bytes) {}

        @Override
        public long pauseNanosecondsAfter(int bytes, long now) {
            return 0;
        }

        @Override
        public long backlogNanoseconds() {
            return 0;
        }

        @Override
        public long openBytes() {
            return 0;
        }
    }
}
