package org.chivecourse.transport.connection;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which connection of a listener is closed when there are too many: of those without an exchange, the one that
 * has been so for longest. Safe for use by several threads.
 *
 * @param <C> the connections
 */
final class QuietConnections<C> {

    /** The largest number of connections. */
    private final int maximum;

    /** The connections without an exchange, the one that has been so for longest first. */
    private final Set<C> quiet = new LinkedHashSet<>();

    /** The connections with an exchange. */
    private final Set<C> busy = new HashSet<>();

    /**
     * Creates an instance without connections.
     *
     * @param maximum the largest number of connections
     */
    QuietConnections(int maximum) {
        this.maximum = maximum;
    }

    /**
     * Adds a connection, which has no exchange yet.
     *
     * @param connection the connection
     * @return the connection to close in its place, which is the new one if all others have exchanges; none if there is
     *     room
     */
    synchronized Optional<C> open(C connection) {
        if (size() < maximum) {
            quiet.add(connection);
            return Optional.empty();
        }
        Iterator<C> longestQuietFirst = quiet.iterator();
        if (!longestQuietFirst.hasNext()) {
            return Optional.of(connection);
        }
        C closing = longestQuietFirst.next();
        longestQuietFirst.remove();
        quiet.add(connection);
        return Optional.of(closing);
    }

    /**
     * Records that an exchange begins on a connection that had none.
     *
     * @param connection the connection, also one that was to be closed
     */
    synchronized void begin(C connection) {
        quiet.remove(connection);
        busy.add(connection);
    }

    /**
     * Records that a connection has no exchange any more.
     *
     * @param connection the connection
     */
    synchronized void end(C connection) {
        if (busy.remove(connection)) {
            quiet.add(connection);
        }
    }

    /**
     * Removes a connection that has closed.
     *
     * @param connection the connection
     */
    synchronized void remove(C connection) {
        quiet.remove(connection);
        busy.remove(connection);
    }

    /** Returns whether a connection has an exchange. */
    synchronized boolean isBusy(C connection) {
        return busy.contains(connection);
    }

    /** Returns the number of connections. */
    synchronized int size() {
        return quiet.size() + busy.size();
    }
}
