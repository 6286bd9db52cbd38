package org.chivecourse.state.publication;

import java.util.HashMap;
import java.util.Map;

/**
 * The last but one values of the published items, by which the changes of items are described to hosts that know them.
 */
final class EarlierValues {

    /** The size of a value from which it is described by its difference, in bytes. */
    private static final int MINIMUM_VALUE_BYTES = 200;

    /** The share of a value that its difference may have at most. */
    private static final int MAXIMUM_DIFFERENCE_DIVISOR = 2;

    /** The maximum size of a value that is restored from a difference, in bytes. */
    private static final int MAXIMUM_VALUE_BYTES = 1 << 20;

    /** The items that were replaced last, by key. */
    private final Map<String, PublishedItem> replaced = new HashMap<>();

    /** The differences of the present items that were computed, by key. */
    private final Map<String, ItemDifference> differences = new HashMap<>();

    /**
     * Records that an item was replaced or removed.
     *
     * @param earlier the earlier item, {@code null} if there was none
     * @param present the item or removal that replaces it
     */
    void record(PublishedItem earlier, PublishedItem present) {
        differences.remove(present.key());
        boolean describable = earlier != null
                && !earlier.removed()
                && !present.removed()
                && PublicationRevision.sameEpoch(earlier.revision(), present.revision());
        if (describable && present.value().length >= MINIMUM_VALUE_BYTES) {
            replaced.put(present.key(), earlier);
        } else {
            replaced.remove(present.key());
        }
    }

    /**
     * Returns an item as its difference from the value that a host has.
     *
     * @param present the item
     * @param knownRevision the revision up to which the host knows all items
     * @return the difference, {@code null} if the host does not have the earlier value or little would be saved
     */
    ItemDifference difference(PublishedItem present, long knownRevision) {
        PublishedItem earlier = replaced.get(present.key());
        if (earlier == null || earlier.revision() > knownRevision) {
            return null;
        }
        ItemDifference difference = differences.computeIfAbsent(
                present.key(),
                key -> new ItemDifference(
                        key,
                        present.revision(),
                        earlier.revision(),
                        ValueDifference.between(earlier.value(), present.value()),
                        ItemDifference.checksum(present.value())));
        boolean small = difference.difference().length <= present.value().length / MAXIMUM_DIFFERENCE_DIVISOR;
        return small ? difference : null;
    }

    /**
     * Returns the item that a difference describes.
     *
     * @param known the known item of the same key, {@code null} if there is none
     * @param difference the difference
     * @return the item, the known one if it is not older, {@code null} if the earlier value is not known
     */
    static PublishedItem restore(PublishedItem known, ItemDifference difference) {
        if (known != null && known.revision() >= difference.revision()) {
            return known;
        }
        if (known == null || known.removed() || known.revision() != difference.baseRevision()) {
            return null;
        }
        byte[] value = ValueDifference.apply(known.value(), difference.difference(), MAXIMUM_VALUE_BYTES);
        boolean whole = value != null && ItemDifference.checksum(value) == difference.checksum();
        return whole ? new PublishedItem(difference.key(), difference.revision(), value) : null;
    }
}
