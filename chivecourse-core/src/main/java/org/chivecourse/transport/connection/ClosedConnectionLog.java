package org.chivecourse.transport.connection;

/** Logs connections that are closed because there are too many. */
@FunctionalInterface
public interface ClosedConnectionLog {

    /**
     * Logs that a connection is closed. Must not block.
     *
     * @param listener the name of the listener
     * @param maximum the largest number of its connections
     */
    void logClosedConnection(String listener, int maximum);
}
