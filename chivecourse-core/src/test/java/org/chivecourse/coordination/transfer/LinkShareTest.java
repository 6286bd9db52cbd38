package org.chivecourse.coordination.transfer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

/**
 * Replays bundles of 60 to 360 kB on a link of 10 Mbit/s that also carries small requests. Guards against bodies that
 * take the whole link, and against bodies that are begun without time to end them.
 */
class LinkShareTest {

    private static final long BYTES_PER_SECOND = 1_250_000;

    private static final int PART_BYTES = 8 * 1024;

    private static final int LARGEST_BUNDLE_BYTES = 360_000;

    private static final int BUNDLES = 6;

    private static final long SECOND = 1_000_000_000L;

    /** The time within which a bundle has its full worth. */
    private static final long TARGET_NANOSECONDS = 2 * SECOND;

    private final LinkShare link = LinkShare.ofBandwidth(BYTES_PER_SECOND);

    /** Transfers bundles side by side, part by part as soon as each may, and returns when the last one ends. */
    private long transfer(int bundles, int bytesOfEach, long[] bytesBySecond) {
        long[] readyAt = new long[bundles];
        int[] transferred = new int[bundles];
        long end = 0;
        for (int parts = bundles * (bytesOfEach / PART_BYTES); parts > 0; parts--) {
            int next = 0;
            for (int bundle = 1; bundle < bundles; bundle++) {
                boolean open = transferred[bundle] < bytesOfEach / PART_BYTES;
                boolean nextOpen = transferred[next] < bytesOfEach / PART_BYTES;
                next = open && (!nextOpen || readyAt[bundle] < readyAt[next]) ? bundle : next;
            }
            long now = readyAt[next];
            bytesBySecond[(int) (now / SECOND)] += PART_BYTES;
            transferred[next]++;
            readyAt[next] = now + link.pauseNanosecondsAfter(PART_BYTES, now);
            end = Math.max(end, readyAt[next]);
        }
        return end;
    }

    @Test
    void bundlesLeaveAFifthOfTheLinkToSmallRequests() {
        long[] bytesBySecond = new long[10];
        transfer(BUNDLES, LARGEST_BUNDLE_BYTES, bytesBySecond);
        for (long bytes : bytesBySecond) {
            assertThat(bytes, lessThan(BYTES_PER_SECOND * 4 / 5));
        }
    }

    @Test
    void singleBundleEndsWellWithinItsTarget() {
        assertThat(transfer(1, LARGEST_BUNDLE_BYTES, new long[10]), lessThan(TARGET_NANOSECONDS / 2));
    }

    @Test
    void bundleWithoutTimeBehindOthersIsRefusedAtOnce() {
        int admitted = 0;
        while (link.begin(LARGEST_BUNDLE_BYTES, TARGET_NANOSECONDS)) {
            admitted++;
        }
        assertThat(link.openBytes(), equalTo((long) admitted * LARGEST_BUNDLE_BYTES));
        assertThat(link.backlogNanoseconds(), lessThanOrEqualTo(TARGET_NANOSECONDS));
        assertThat(transfer(admitted, LARGEST_BUNDLE_BYTES, new long[10]), lessThan(TARGET_NANOSECONDS));
        link.end(LARGEST_BUNDLE_BYTES);
        assertThat(link.begin(LARGEST_BUNDLE_BYTES, TARGET_NANOSECONDS), equalTo(true));
    }

    @Test
    void bundleOfCallerWithoutDeadlineIsAdmitted() {
        assertThat(link.begin(100 * BYTES_PER_SECOND, 0), equalTo(true));
    }

    @Test
    void pauseEndsWithTheTransfersThatCausedIt() {
        long[] bytesBySecond = new long[10];
        long end = transfer(BUNDLES, LARGEST_BUNDLE_BYTES, bytesBySecond);
        assertThat(link.pauseNanosecondsAfter(PART_BYTES, end + SECOND), equalTo(0L));
    }

    @Test
    void linkOfUnknownBandwidthBoundsNothing() {
        LinkShare unknown = LinkShare.ofBandwidth(0);
        assertThat(unknown.begin(Long.MAX_VALUE, 1), equalTo(true));
        assertThat(unknown.pauseNanosecondsAfter(Integer.MAX_VALUE, 0), equalTo(0L));
    }
}
