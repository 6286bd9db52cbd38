package org.chivecourse.state.publication;

import java.util.Arrays;

/**
 * A published item, or the removal of one.
 *
 * @param key the key of the item
 * @param revision the revision at which it was published or removed
 * @param value the published bytes, {@code null} if the item was removed
 */
public record PublishedItem(String key, long revision, byte[] value) {

    /**
     * Creates the removal of an item.
     *
     * @param key the key of the item
     * @param revision the revision at which it was removed
     * @return the removal
     */
    public static PublishedItem removal(String key, long revision) {
        return new PublishedItem(key, revision, null);
    }

    /** Returns whether this is a removal. */
    public boolean removed() {
        return value == null;
    }

    /**
     * Returns whether an earlier item of the same key has the same value.
     *
     * @param earlier the earlier item, {@code null} for none, which equals a removal
     * @return {@code true} if this item changes nothing that is published
     */
    boolean sameValue(PublishedItem earlier) {
        return Arrays.equals(value, earlier == null ? null : earlier.value);
    }
}
