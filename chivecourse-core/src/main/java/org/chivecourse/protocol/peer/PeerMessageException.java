package org.chivecourse.protocol.peer;

/** Signals that a message of another gateway cannot be used. */
public class PeerMessageException extends Exception {

    /**
     * Creates an exception.
     *
     * @param problem what is wrong
     */
    public PeerMessageException(String problem) {
        super(problem);
    }
}
