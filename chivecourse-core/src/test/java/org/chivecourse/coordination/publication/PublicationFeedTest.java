package org.chivecourse.coordination.publication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;

import java.util.ArrayList;
import java.util.List;
import org.chivecourse.coordination.decision.Decision;
import org.junit.jupiter.api.Test;

class PublicationFeedTest {

    private static final long MILLISECOND = 1_000_000L;

    private final PublicationFeed feed = new PublicationFeed();

    private long now = MILLISECOND;

    private List<Decision> pass(boolean wanted, long revision, long milliseconds) {
        List<Decision> decisions = new ArrayList<>();
        for (long passed = 0; passed < milliseconds; passed += 10) {
            now += 10 * MILLISECOND;
            feed.timePassed(() -> wanted, revision, now, decisions::add);
        }
        return decisions;
    }

    private void listed() {
        Decision.ListPublication list =
                (Decision.ListPublication) pass(true, 0, 10).get(0);
        feed.answered(list.call(), now);
    }

    @Test
    void aGatewayThatKnowsNothingReadsAllThoughItIsNotToWatch() {
        assertThat(pass(false, 0, 10).get(0), instanceOf(Decision.ListPublication.class));
    }

    @Test
    void aGatewayThatIsNotToWatchReadsNoMore() {
        listed();
        assertThat(pass(false, 5, 10_000), empty());
    }

    @Test
    void aSilentWatchIsGivenUpAndTriedAgain() {
        listed();
        assertThat(pass(true, 5, 10), hasSize(1));
        List<Decision> decisions = pass(true, 5, PublicationFeed.WAIT_MILLISECONDS + 1000);
        assertThat(decisions.get(0), instanceOf(Decision.CancelPublication.class));
        assertThat(decisions.get(1), instanceOf(Decision.WatchPublication.class));
    }

    @Test
    void aWatchAfterAFailureAsksForNoWait() {
        listed();
        Decision.WatchPublication first =
                (Decision.WatchPublication) pass(true, 5, 10).get(0);
        feed.failed(first.call(), false, now);
        Decision.WatchPublication second =
                (Decision.WatchPublication) pass(true, 5, 100).get(0);
        assertThat(second.waitMilliseconds(), equalTo(1));
    }

    @Test
    void twoFailuresMakeThePublisherCountAsLost() {
        listed();
        for (int count = 0; count < 2; count++) {
            Decision.WatchPublication watch =
                    (Decision.WatchPublication) pass(true, 5, 800).get(0);
            feed.failed(watch.call(), false, now);
        }
        assertThat(feed.reached(), equalTo(false));
    }

    @Test
    void aGatewayThatLostThePublisherTriesOnThoughOthersWatch() {
        listed();
        Decision.WatchPublication watch =
                (Decision.WatchPublication) pass(true, 5, 10).get(0);
        feed.failed(watch.call(), false, now);
        assertThat(pass(false, 5, 100), hasSize(1));
    }

    @Test
    void whenChangesAreForgottenAllIsReadAnewAndNotFromAStaleCopy() {
        listed();
        Decision.WatchPublication watch =
                (Decision.WatchPublication) pass(true, 5, 10).get(0);
        feed.failed(watch.call(), true, now);
        Decision.ListPublication list =
                (Decision.ListPublication) pass(true, 5, 10).get(0);
        assertThat(list.staleAllowed(), equalTo(false));
    }

    @Test
    void theEndOfACallThatWasGivenUpCountsForNothing() {
        listed();
        Decision.WatchPublication watch =
                (Decision.WatchPublication) pass(true, 5, 10).get(0);
        pass(true, 5, PublicationFeed.WAIT_MILLISECONDS + 1000);
        assertThat(feed.answered(watch.call(), now), equalTo(false));
    }
}
