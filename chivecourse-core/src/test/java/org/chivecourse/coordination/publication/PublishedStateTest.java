package org.chivecourse.coordination.publication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;

import java.util.ArrayList;
import java.util.List;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.state.publication.PublishedItem;
import org.chivecourse.state.server.RegisteredServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against one published item that costs a gateway the others: they are not published again. */
class PublishedStateTest {

    private final List<String> unreadable = new ArrayList<>();

    private final DecisionSink sink = decision -> {
        if (decision instanceof Decision.Audit audit && audit.change().to().equals("unreadable")) {
            unreadable.add(audit.change().name());
        }
    };

    private static PublishedItem item(String key, long revision) {
        return new PublishedItem(key, revision, new byte[0]);
    }

    private static Publication announce(PublishedItem item) {
        return new Publication.ServerAnnouncement(
                new RegisteredServer(item.key(), 1, 1, "jobs", "10.0.0.1:80", "a", "v1", 4, false, 0));
    }

    private static PublishedState state(Throwable failure) {
        PublicationDecoder decoder = item -> {
            if (item.key().equals("odd")) {
                PublishedStateTest.<RuntimeException>raise(failure);
            }
            return announce(item);
        };
        return new PublishedState(decoder, new PublishedState.Listener() {
            @Override
            public void onConfigurationPublished(
                    Publication.PublishedConfiguration configuration, String source, long now, DecisionSink sink) {
                throw new AssertionError("no configuration is published");
            }

            @Override
            public void onServersChanged(long now, DecisionSink sink) {
                // Nothing follows from changed servers in this test.
            }
        });
    }

    @SuppressWarnings("unchecked")
    private static <T extends Throwable> void raise(Throwable failure) throws T {
        throw (T) failure;
    }

    @ParameterizedTest
    @ValueSource(classes = {IllegalArgumentException.class, StackOverflowError.class})
    void appliesOtherItemsWhenDecoderFailsOnOne(Class<? extends Throwable> failure) throws Exception {
        PublishedState state = state(failure.getConstructor().newInstance());
        state.replace(List.of(item("a", 1), item("odd", 2), item("b", 3)), 3, "test", 0, sink);
        assertThat(state.registry().size(), equalTo(2));
        assertThat(unreadable, contains("odd"));
    }

    /** An unreadable item is reported once for each time that it is written, not each time that it is read. */
    @Test
    void reportsUnreadableItemOnceHoweverOftenItIsRead() {
        PublishedState state = state(new IllegalArgumentException());
        for (int count = 0; count < 5; count++) {
            state.replace(List.of(item("a", 1), item("odd", 2)), 3 + count, "test", count, sink);
        }
        assertThat(unreadable, contains("odd"));
    }
}
