package org.chivecourse.protocol.http;

import java.util.List;

/**
 * The header fields of a request that determine its host and the length of its body.
 *
 * @param hostHeaders the values of the {@code Host} header field
 * @param transferEncodings the values of the {@code Transfer-Encoding} header field
 * @param contentLengths the values of the {@code Content-Length} header field
 */
public record RequestFraming(List<String> hostHeaders, List<String> transferEncodings, List<String> contentLengths) {

    /** The only supported transfer encoding. */
    private static final String CHUNKED = "chunked";

    /**
     * Rejects a request that two recipients could interpret differently, as in request smuggling; see sections 3.2 and
     * 6.1 of RFC 9112.
     *
     * @throws BadRequestException if the request does not have exactly one host, has a transfer encoding other than
     *     chunked, or has both a transfer encoding and a content length
     */
    public void check() throws BadRequestException {
        if (hostHeaders.size() != 1) {
            throw new BadRequestException("the request has " + hostHeaders.size() + " Host header fields");
        }
        if (transferEncodings.isEmpty()) {
            return;
        }
        boolean chunkedOnly =
                transferEncodings.size() == 1 && transferEncodings.get(0).equalsIgnoreCase(CHUNKED);
        if (!chunkedOnly) {
            throw new BadRequestException("the request has the unsupported transfer encodings " + transferEncodings);
        }
        if (!contentLengths.isEmpty()) {
            throw new BadRequestException(
                    "the request has both a transfer encoding and the content lengths " + contentLengths);
        }
    }

    /**
     * Returns whether the body is chunked.
     *
     * @return {@code true} if the request has a transfer encoding
     */
    public boolean chunked() {
        return !transferEncodings.isEmpty();
    }

    /**
     * Returns the length of the body that the request states.
     *
     * @return the length in bytes, zero if the request states none
     * @throws BadRequestException if the stated length is not a number
     */
    public long length() throws BadRequestException {
        if (contentLengths.isEmpty()) {
            return 0;
        }
        try {
            return Long.parseUnsignedLong(contentLengths.get(0));
        } catch (NumberFormatException exception) {
            throw new BadRequestException(
                    "the request has the invalid content length \"" + contentLengths.get(0) + "\"");
        }
    }
}
