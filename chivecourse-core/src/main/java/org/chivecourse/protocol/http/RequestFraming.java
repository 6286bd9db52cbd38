package org.chivecourse.protocol.http;

import java.util.List;

/**
 * What a request's header says of its target and of the length of its body.
 *
 * @param hostHeaders the values of the {@code Host} header field
 * @param transferEncodings the values of the {@code Transfer-Encoding} header field
 * @param contentLengths the values of the {@code Content-Length} header field
 */
public record RequestFraming(List<String> hostHeaders, List<String> transferEncodings, List<String> contentLengths) {

    /** The only transfer encoding that requests may have. */
    private static final String CHUNKED = "chunked";

    /**
     * Refuses a request that two readers could understand differently; see sections 3.2 and 6.1 of RFC 9112.
     *
     * @throws BadRequestException if the request does not name one host, or states its length in two ways or in none
     *     that is known
     */
    public void check() throws BadRequestException {
        if (hostHeaders.size() != 1) {
            throw new BadRequestException("the request names " + hostHeaders.size() + " hosts");
        }
        if (transferEncodings.isEmpty()) {
            return;
        }
        boolean chunkedOnly =
                transferEncodings.size() == 1 && transferEncodings.get(0).equalsIgnoreCase(CHUNKED);
        if (!chunkedOnly) {
            throw new BadRequestException("the request has the transfer encodings " + transferEncodings);
        }
        if (!contentLengths.isEmpty()) {
            throw new BadRequestException("the request has a transfer encoding and the lengths " + contentLengths);
        }
    }

    /**
     * Returns whether the request's body is chunked.
     *
     * @return {@code true} if the request has a transfer encoding
     */
    public boolean chunked() {
        return !transferEncodings.isEmpty();
    }

    /**
     * Returns the length of the request's body.
     *
     * @return the length in bytes, zero if none is stated
     * @throws BadRequestException if the length is not a number
     */
    public long length() throws BadRequestException {
        if (contentLengths.isEmpty()) {
            return 0;
        }
        try {
            return Long.parseUnsignedLong(contentLengths.get(0));
        } catch (NumberFormatException exception) {
            throw new BadRequestException("the request has the length \"" + contentLengths.get(0) + "\"");
        }
    }
}
