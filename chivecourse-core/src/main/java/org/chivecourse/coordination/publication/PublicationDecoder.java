package org.chivecourse.coordination.publication;

import org.chivecourse.state.publication.PublishedItem;

/** Decodes published items. The adapter to a platform supplies an implementation. */
@FunctionalInterface
public interface PublicationDecoder {

    /**
     * Decodes an item.
     *
     * @param item the item, never a removal
     * @return the meaning of the item, {@link Publication.Unreadable} if it cannot be decoded
     */
    Publication decode(PublishedItem item);

    /** Treats each item as unrelated, for platforms that publish none. */
    enum Disabled implements PublicationDecoder {
        /** The only instance. */
        INSTANCE;

        @Override
        public Publication decode(PublishedItem item) {
            return Publication.Unrelated.INSTANCE;
        }
    }
}
