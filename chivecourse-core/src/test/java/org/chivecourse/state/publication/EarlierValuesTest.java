package org.chivecourse.state.publication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against values that are restored from a difference although the recipient had another earlier value. */
class EarlierValuesTest {

    private static final String KEY = "configuration";

    private final PublicationTable sender = new PublicationTable();

    private final PublicationTable recipient = new PublicationTable();

    private static PublishedItem item(long revision, String ending) {
        String text = "route ".repeat(200) + ending;
        return new PublishedItem(KEY, revision, text.getBytes(StandardCharsets.UTF_8));
    }

    private static String text(PublishedItem item) {
        return new String(item.value(), StandardCharsets.UTF_8);
    }

    private ItemDifference senderChanges(long knownRevision) {
        sender.replaceAll(List.of(item(5, "old")), 5);
        sender.applyChanges(List.of(item(8, "new")), 5, 8);
        return sender.difference(item(8, "new"), knownRevision);
    }

    @Test
    void restoresValueFromEarlierOne() {
        ItemDifference difference = senderChanges(6);
        assertThat(difference, notNullValue());
        recipient.replaceAll(List.of(item(5, "old")), 6);
        assertThat(text(recipient.restore(List.of(difference)).get(0)), equalTo(text(item(8, "new"))));
    }

    @Test
    void describesNoDifferenceToHostWithoutEarlierValue() {
        assertThat(senderChanges(4), nullValue());
    }

    @Test
    void restoresNothingFromOtherRevision() {
        ItemDifference difference = senderChanges(6);
        recipient.replaceAll(List.of(item(4, "old")), 6);
        assertThat(recipient.restore(List.of(difference)), nullValue());
    }

    /** After the publisher came back from an older copy it gives the same revision to another value. */
    @Test
    void restoresNothingFromOtherValueOfSameRevision() {
        ItemDifference difference = senderChanges(6);
        recipient.replaceAll(List.of(other()), 6);
        assertThat(recipient.restore(List.of(difference)), nullValue());
    }

    private static PublishedItem other() {
        String text = "river ".repeat(200) + "old";
        return new PublishedItem(KEY, 5, text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void keepsNewerValue() {
        ItemDifference difference = senderChanges(6);
        recipient.replaceAll(List.of(item(9, "newest")), 9);
        assertThat(text(recipient.restore(List.of(difference)).get(0)), equalTo(text(item(9, "newest"))));
    }
}
