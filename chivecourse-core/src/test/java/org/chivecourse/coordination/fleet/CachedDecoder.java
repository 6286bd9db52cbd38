package org.chivecourse.coordination.fleet;

import java.util.IdentityHashMap;
import java.util.Map;
import org.chivecourse.coordination.publication.Publication;
import org.chivecourse.coordination.publication.PublicationDecoder;
import org.chivecourse.state.publication.PublishedItem;

/** Decodes each published item once for all gateways of a simulated fleet, to save time. */
final class CachedDecoder implements PublicationDecoder {

    private final PublicationDecoder decoder = new TextDecoder();

    private final Map<byte[], Publication> decoded = new IdentityHashMap<>();

    @Override
    public Publication decode(PublishedItem item) {
        return decoded.computeIfAbsent(item.value(), value -> decoder.decode(item));
    }
}
