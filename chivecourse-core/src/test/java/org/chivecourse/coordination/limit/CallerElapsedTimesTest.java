package org.chivecourse.coordination.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;

import org.junit.jupiter.api.Test;

/** Guards against taking callers that come back for new ones, and impatient or patient ones for the others. */
class CallerElapsedTimesTest {

    private static final long MILLISECOND = 1_000_000L;

    private final CallerElapsedTimes elapsedTimes = new CallerElapsedTimes();

    private long record(long milliseconds) {
        return elapsedTimes.record("lookups", milliseconds * MILLISECOND) / MILLISECOND;
    }

    /** Records requests that grant between 1,700 and 2,000 milliseconds, as new requests of the users' callers do. */
    private void recordNewRequests(int count) {
        for (int number = 0; number < count; number++) {
            record(1700 + number * 37 % 300);
        }
    }

    @Test
    void firstRequestOfRouteIsNew() {
        assertThat(record(2000), equalTo(0L));
    }

    @Test
    void requestsThatGrantSlightlyLessAreNew() {
        recordNewRequests(200);
        assertThat(record(1700), equalTo(0L));
    }

    @Test
    void callerThatComesBackGrantsMuchLess() {
        recordNewRequests(200);
        assertThat((double) record(1000), closeTo(0.8 * 2000 - 1000, 100));
    }

    @Test
    void fewPatientCallersDoNotMakeTheOthersOld() {
        recordNewRequests(200);
        for (int number = 0; number < 10; number++) {
            record(8000);
            recordNewRequests(24);
        }
        assertThat(record(1800), equalTo(0L));
    }

    @Test
    void requestWithoutGrantedTimeIsNew() {
        recordNewRequests(10);
        assertThat(record(0), equalTo(0L));
    }

    @Test
    void shorterTimesBecomeUsual() {
        record(8000);
        recordNewRequests(1000);
        assertThat(record(1800), equalTo(0L));
    }

    /** After a start most callers come back. The first new requests show it. */
    @Test
    void fewNewRequestsShowThatOthersComeBack() {
        for (long granted : new long[] {700, 650, 900, 1900, 800, 1850}) {
            record(granted);
        }
        assertThat((double) record(700), closeTo(0.8 * 1850 - 700, 100));
    }

    @Test
    void onePatientCallerDoesNotMakeTheFirstOthersOld() {
        record(8000);
        assertThat(record(1800), equalTo(0L));
        assertThat(record(1750), equalTo(0L));
    }

    @Test
    void routesAreIndependent() {
        elapsedTimes.record("orders", 5000 * MILLISECOND);
        record(1000);
        assertThat(record(1000), equalTo(0L));
    }
}
