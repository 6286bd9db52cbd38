package org.chivecourse.state.server;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.nullValue;

import org.junit.jupiter.api.Test;

/** Guards against requests beyond a stated limit, and against limits that never end. */
class RequestAllowanceTest {

    private static final long SECOND = 1_000_000_000L;

    private static final RequestLimit ONE_PER_SECOND = new RequestLimit(1);

    private final RequestAllowance allowance = new RequestAllowance();

    private long now = 100 * SECOND;

    private void limit(RequestLimit limit) {
        allowance.recordStatement(limit, now, now);
        allowance.assignSenders(1);
    }

    private void advance(double seconds) {
        now += (long) (seconds * SECOND);
    }

    /** Takes permits as soon as they are available and returns their number. */
    private int takeWithin(int seconds) {
        int taken = 0;
        for (int step = 0; step < 100 * seconds; step++) {
            advance(0.01);
            if (allowance.permits(now)) {
                allowance.take(now, 0);
                taken++;
            }
        }
        return taken;
    }

    @Test
    void permitsEverythingWithoutLimit() {
        assertThat(allowance.permits(now), equalTo(true));
    }

    @Test
    void startsWithoutPermitWhenLimitBecomesKnown() {
        limit(ONE_PER_SECOND);
        assertThat(allowance.permits(now), equalTo(false));
        advance(1);
        assertThat(allowance.permits(now), equalTo(true));
    }

    @Test
    void permitsNothingToGatewayThatIsNoSender() {
        limit(ONE_PER_SECOND);
        allowance.assignSenders(0);
        advance(20);
        assertThat(allowance.permits(now), equalTo(false));
    }

    @Test
    void collectsNoMoreThanOnePermitAtLowLimit() {
        limit(ONE_PER_SECOND);
        advance(20);
        assertThat(takeWithin(3), lessThanOrEqualTo(4));
    }

    @Test
    void permitsTheLimitOverTime() {
        limit(new RequestLimit(2.5));
        assertThat(takeWithin(20), equalTo(50));
    }

    @Test
    void permitsFewRequestsAtLimitOfZero() {
        limit(new RequestLimit(0));
        assertThat(takeWithin(20), equalTo(4));
    }

    @Test
    void chargesRequestsThatOtherGatewayReportsAsTotal() {
        limit(ONE_PER_SECOND);
        allowance.recordDispatchedByOther("other", 1, 7, now, 0);
        advance(1);
        allowance.recordDispatchedByOther("other", 1, 9, now, 0);
        allowance.recordDispatchedByOther("other", 1, 9, now, 0);
        allowance.recordDispatchedByOther("other", 1, 8, now, 0);
        assertThat((double) allowance.nanosecondsUntilPermit(now) / SECOND, closeTo(2, 1e-6));
    }

    @Test
    void chargesNothingForTotalOfRestartedGateway() {
        limit(ONE_PER_SECOND);
        advance(1);
        allowance.recordDispatchedByOther("other", 1, 9, now, 0);
        allowance.recordDispatchedByOther("other", 2, 40, now, 0);
        assertThat(allowance.permits(now), equalTo(true));
    }

    @Test
    void owesNoMoreThanFourSeconds() {
        limit(ONE_PER_SECOND);
        allowance.recordDispatchedByOther("other", 1, 0, now, 0);
        allowance.recordDispatchedByOther("other", 1, 1_000_000, now, 0);
        assertThat(allowance.nanosecondsUntilPermit(now), lessThanOrEqualTo(6 * SECOND));
    }

    @Test
    void returnedPermitIsAvailableAgain() {
        limit(ONE_PER_SECOND);
        advance(1);
        allowance.take(now, 0);
        allowance.giveBack();
        assertThat(allowance.permits(now), equalTo(true));
    }

    @Test
    void olderStatementChangesNothing() {
        limit(ONE_PER_SECOND);
        assertThat(allowance.recordStatement(RequestLimit.NONE, now - 1, now), nullValue());
        assertThat(allowance.limited(now), equalTo(true));
    }

    @Test
    void limitEndsWhenServerStatesNone() {
        limit(ONE_PER_SECOND);
        advance(1);
        assertThat(allowance.recordStatement(RequestLimit.NONE, now, now), equalTo(ONE_PER_SECOND));
        assertThat(allowance.permits(now), equalTo(true));
    }

    @Test
    void limitThatIsNotStatedAgainEnds() {
        limit(ONE_PER_SECOND);
        advance(29);
        assertThat(allowance.limited(now), equalTo(true));
        advance(1);
        assertThat(allowance.limited(now), equalTo(false));
    }

    @Test
    void loweredLimitKeepsNoLargerNumberOfPermits() {
        limit(new RequestLimit(100));
        advance(10);
        limit(ONE_PER_SECOND);
        assertThat(takeWithin(4), lessThanOrEqualTo(5));
    }
}
