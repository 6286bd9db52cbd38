package org.chivecourse.state.publication;

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
}
