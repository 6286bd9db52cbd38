package org.chivecourse.protocol.peer;

/**
 * Thrown when a message from another gateway is malformed, oversized, not authentic, of another version, or otherwise
 * unusable.
 */
public class PeerMessageException extends Exception {

    /**
     * Creates an exception.
     *
     * @param problem a description of the problem, with the offending value
     */
    public PeerMessageException(String problem) {
        super(problem);
    }
}
