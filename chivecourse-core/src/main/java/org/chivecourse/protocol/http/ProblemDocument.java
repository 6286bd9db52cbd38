package org.chivecourse.protocol.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.chivecourse.configuration.document.ConstantNames;
import org.chivecourse.coordination.decision.Decision;

/** Encodes the errors that a gateway generates as problem documents of RFC 9457. */
public final class ProblemDocument {

    /** The media type of problem documents. */
    public static final String MEDIA_TYPE = "application/problem+json";

    /** Writes trees as JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** This class has only static members. */
    private ProblemDocument() {}

    /**
     * Encodes a refusal.
     *
     * @param refusal the refusal
     * @return the JSON document in UTF-8
     */
    public static byte[] encode(Decision.Refusal refusal) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("type", "about:blank");
        node.put("title", refusal.reason().text());
        node.put("status", refusal.reason().status());
        node.put("outcome", ConstantNames.of(refusal.outcome()));
        node.put("reason", ConstantNames.of(refusal.reason()));
        if (refusal.retryAfterMilliseconds() > 0) {
            node.put("retry-after-milliseconds", refusal.retryAfterMilliseconds());
        }
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("cannot convert a refusal to JSON", exception);
        }
    }
}
