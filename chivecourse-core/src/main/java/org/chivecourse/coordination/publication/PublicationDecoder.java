package org.chivecourse.coordination.publication;

import org.chivecourse.state.publication.PublishedItem;

/** Decodes published items; supplied by the adapter to the platform. */
@FunctionalInterface
public interface PublicationDecoder {

    /**
     * Decodes an item.
     *
     * @param item the item, which is no removal
     * @return its meaning
     */
    Publication decode(PublishedItem item);

    /** Knows no item; for platforms that publish none. */
    enum Disabled implements PublicationDecoder {
        /** The only instance. */
        INSTANCE;

        @Override
        public Publication decode(PublishedItem item) {
            return Publication.Unrelated.INSTANCE;
        }
    }
}
