package org.chivecourse.coordination.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.fleet.DigestComposer.Content;
import org.chivecourse.coordination.publication.Publication;
import org.chivecourse.coordination.publication.PublishedState;
import org.chivecourse.protocol.peer.PublicationCodec;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.fleet.Member;
import org.chivecourse.state.publication.ItemDifference;
import org.chivecourse.state.publication.PublishedItem;
import org.junit.jupiter.api.Test;

/** Guards against gateways that ask for ever for what they cannot apply, and against datagrams that are too large. */
class PublicationSpreadTest {

    private static final String KEY = "configuration";

    private static final int MAXIMUM_CARRIED_BYTES = 800;

    private final List<Decision> decisions = new ArrayList<>();

    private final List<FleetDigest.Changes> carried = new ArrayList<>();

    private final FleetPeers peers = new FleetPeers(new Member("host-1", "10.0.0.1:7000", "dc"));

    private final PublishedState publishedState =
            new PublishedState(item -> Publication.Unrelated.INSTANCE, new IgnoringListener());

    private final PublicationSpread spread = new PublicationSpread(peers, publishedState, this::compose);

    private long sequence;

    private FleetDigest compose(Content content, long now) {
        if (content.changes() != null) {
            carried.add(content.changes());
        }
        return digest("host-1", publishedState.revision(), content.changes());
    }

    private FleetDigest digest(String name, long revision, FleetDigest.Changes changes) {
        return digest(name, new FleetDigest.PublisherStatus(revision, true, false, 0), changes);
    }

    private FleetDigest digest(String name, FleetDigest.PublisherStatus status, FleetDigest.Changes changes) {
        return new FleetDigest(
                new Member(name, "10.0.0." + name.substring("host-".length()) + ":7000", "dc"),
                1,
                ++sequence,
                false,
                false,
                status,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                Map.of(),
                changes,
                2,
                2,
                List.of(),
                List.of(),
                "");
    }

    private void hear(String name, long revision, FleetDigest.Changes changes) {
        hear(digest(name, revision, changes));
    }

    private void hear(FleetDigest digest) {
        peers.accept(digest, 0);
        spread.receive(digest, true, 0, decisions::add);
    }

    private static PublishedItem item(String key, long revision, String text) {
        return new PublishedItem(key, revision, text.getBytes(StandardCharsets.UTF_8));
    }

    private List<Decision.PullPublication> pulls() {
        return decisions.stream()
                .filter(Decision.PullPublication.class::isInstance)
                .map(Decision.PullPublication.class::cast)
                .toList();
    }

    /** The other gateway skipped the revision that this one has, so that its earlier value is an older one. */
    @Test
    void asksForAllItemsAfterDifferenceThatDoesNotFit() {
        publishedState.replace(List.of(item(KEY, 102, "second")), 102, "publisher", 0, decisions::add);
        hear("host-2", 104, null);
        assertThat(pulls().size(), equalTo(1));
        ItemDifference difference = new ItemDifference(KEY, 104, 100, new byte[0], 0);
        FleetDigest.Changes changes = new FleetDigest.Changes(102, 104, List.of(), List.of(difference));
        spread.applyPulled(new Event.PublicationPulled("host-2", changes), 0, decisions::add);
        assertThat("asks again at once", pulls().size(), equalTo(1));
        spread.startDuePull(1_000_000_000L / 2, decisions::add);
        assertThat(pulls().size(), equalTo(2));
        assertThat(pulls().get(1).after(), equalTo(0L));
    }

    /** Asking again at once would go on for as long as the other gateway has it. */
    @Test
    void asksOnceADigestForRetainedConfigurationThatItCannotRead() {
        publishedState.replace(List.of(item(KEY, 102, "first")), 102, "publisher", 0, decisions::add);
        FleetDigest.PublisherStatus status = new FleetDigest.PublisherStatus(102, true, false, 0, 7);
        hear(digest("host-2", status, null));
        FleetDigest.Changes changes =
                new FleetDigest.Changes(102, 102, List.of()).withRetainedConfiguration(item(KEY, 101, "lost"));
        for (int count = 0; count < 5; count++) {
            spread.applyPulled(new Event.PublicationPulled("host-2", changes), 0, decisions::add);
            spread.startDuePull(1_000_000_000L * count, decisions::add);
        }
        assertThat(pulls().size(), equalTo(1));
        hear(digest("host-2", status, null));
        assertThat(pulls().size(), equalTo(2));
    }

    @Test
    void carriesNoMoreRemovalsThanFitIntoDatagram() {
        hear("host-2", 1, null);
        List<PublishedItem> items = new ArrayList<>();
        for (int number = 0; number < 38; number++) {
            items.add(item("servers/i-0123456" + (100 + number), 1, "{}"));
        }
        publishedState.replace(items, 1, "publisher", 0, decisions::add);
        List<PublishedItem> removals = new ArrayList<>();
        items.forEach(item -> removals.add(PublishedItem.removal(item.key(), 2)));
        publishedState.applyChanges(new FleetDigest.Changes(1, 2, removals), "publisher", 0, decisions::add);
        spread.broadcast(1, 0, decisions::add);
        for (FleetDigest.Changes changes : carried) {
            int encoded = PublicationCodec.encode(changes).getSerializedSize();
            assertThat(encoded, lessThanOrEqualTo(MAXIMUM_CARRIED_BYTES));
        }
    }

    /** Its own base is missing, but others of its data centre have theirs. */
    @Test
    void relayForwardsChangesThatItCannotApply() {
        publishedState.replace(List.of(item(KEY, 100, "first")), 100, "publisher", 0, decisions::add);
        for (int number : List.of(2, 4, 5, 7, 9)) {
            hear("host-" + number, 100, null);
        }
        assertThat(RelayElection.INSTANCE.isRelay(peers, 0), equalTo(true));
        ItemDifference difference = new ItemDifference(KEY, 104, 102, new byte[0], 0);
        FleetDigest.Changes changes = new FleetDigest.Changes(102, 104, List.of(), List.of(difference));
        FleetDigest digest = digest("host-30", 104, changes);
        spread.receive(digest, false, 0, decisions::add);
        spread.receive(digest, false, 0, decisions::add);
        assertThat(carried.size(), equalTo(1));
    }

    /** Ignores what follows from published items. */
    private static final class IgnoringListener implements PublishedState.Listener {

        @Override
        public void onConfigurationPublished(
                Publication.PublishedConfiguration configuration, String source, long now, DecisionSink sink) {}

        @Override
        public void onServersChanged(long now, DecisionSink sink) {}
    }
}
