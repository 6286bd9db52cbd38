package org.chivecourse.transport.connection;

/**
 * The numbers of connections that the listeners of a process may have. The listeners divide half of the process's
 * sockets, and a quarter of its memory, among them: the rest is for connections to backend servers and for what the
 * connections carry.
 *
 * @param total the largest number of connections of all listeners
 */
public record ConnectionShares(long total) {

    /** The part of the memory that connections may take: a quarter. */
    private static final int PARTS_OF_MEMORY = 4;

    /** The part of the sockets that connections may take: a half. */
    private static final int PARTS_OF_SOCKETS = 2;

    /** The number of parts that the listeners divide among them. */
    private static final int PARTS = 8;

    /** The memory of a connection, in bytes: its handlers, and what has been read from it. */
    private static final long BYTES_PER_CONNECTION = 8 * 1024;

    /** The number of connections without TLS that take the memory of one with it. */
    private static final int CONNECTIONS_PER_TLS_CONNECTION = 4;

    /** The smallest number of connections of a listener. */
    private static final int MINIMUM = 16;

    /**
     * Returns the shares of a process.
     *
     * @param memoryBytes the memory that the process was given, in bytes
     * @param sockets the largest number of its sockets
     * @return the shares
     */
    public static ConnectionShares ofProcess(long memoryBytes, long sockets) {
        return new ConnectionShares(
                Math.min(memoryBytes / PARTS_OF_MEMORY / BYTES_PER_CONNECTION, sockets / PARTS_OF_SOCKETS));
    }

    /**
     * Returns the largest number of connections of a listener.
     *
     * @param listener the listener
     * @param tls whether its connections use TLS
     * @return the number, at least {@value #MINIMUM}
     */
    public int maximum(Listener listener, boolean tls) {
        long share = total * listener.parts / PARTS / (tls ? CONNECTIONS_PER_TLS_CONNECTION : 1);
        return (int) Math.max(MINIMUM, Math.min(share, Integer.MAX_VALUE));
    }

    /** A listener of a process. */
    public enum Listener {
        /** The listener for callers. */
        CALLERS(5),

        /** The listener for requests that other gateways forward. */
        FORWARDING(1),

        /** The listener for operators and the platform's balancer. */
        OPERATORS(1),

        /** The listener for other gateways that ask for configurations and published items. */
        PEERS(1);

        /** The number of parts of all connections that the listener may have. */
        private final int parts;

        /** Creates a listener. */
        Listener(int parts) {
            this.parts = parts;
        }
    }
}
