package org.chivecourse.coordination.evacuation;

/**
 * A request to evacuate a data centre.
 *
 * @param origin what requests it
 * @param name the key of the published item, or the key of the configuration
 * @param revision the revision of the item or of the configuration
 * @param source from where this gateway has it: the publisher, a file or the name of a gateway
 */
public record EvacuationRequest(EvacuationOrigin origin, String name, long revision, String source) {

    /** Returns the request as text for the audit log. */
    String describe() {
        return name + " from " + source;
    }
}
