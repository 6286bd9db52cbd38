package org.chivecourse.coordination.publication;

import java.util.Optional;
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

    /**
     * Returns the data centre whose backend servers get no requests for as long as an item is published. The key of the
     * item alone makes it such a request, whatever its value is.
     *
     * @param key the key of the item
     * @return the name of the data centre, empty for any other item
     */
    default Optional<String> evacuatedDataCentre(String key) {
        return Optional.empty();
    }

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
