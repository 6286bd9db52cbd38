package org.chivecourse.transport.connection;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;

/**
 * The largest number of connections of a listener. Beyond it, a connection without an exchange is closed for each new
 * one. A connection with an exchange is never closed; if all have one, the new connection is closed.
 */
public final class ConnectionLimit {

    /** The name of the listener. */
    private final String listener;

    /** The largest number of connections. */
    private final int maximum;

    /** Decides which connection is closed. */
    private final QuietConnections<Activity> connections;

    /** Records each connection that is closed. */
    private final ClosedConnectionLog log;

    /** Counts the connections that were closed. */
    private final Counter closed;

    /**
     * Creates a limit and registers its metrics.
     *
     * @param listener the name of the listener, by which its metrics are named
     * @param maximum the largest number of connections
     * @param log records each connection that is closed
     * @param metrics the registry of all metrics
     */
    public ConnectionLimit(String listener, int maximum, ClosedConnectionLog log, MetricRegistry metrics) {
        this.listener = listener;
        this.maximum = maximum;
        this.log = log;
        connections = new QuietConnections<>(maximum);
        closed = metrics.counter("connections." + listener + ".closed");
        metrics.register("connections." + listener + ".open", (Gauge<Integer>) connections::size);
        metrics.register("connections." + listener + ".largest", (Gauge<Integer>) () -> maximum);
    }

    /** Returns the name of the listener. */
    public String listener() {
        return listener;
    }

    /** Returns the largest number of connections. */
    public int maximum() {
        return maximum;
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return connections.size();
    }

    /** Returns the number of connections that were closed because there were too many. */
    public long closedConnections() {
        return closed.getCount();
    }

    /**
     * Counts a new connection, and closes one if there are too many.
     *
     * @param channel the connection, whose handlers are being added
     */
    public void admit(Channel channel) {
        Activity activity = new Activity(channel);
        channel.attr(ConnectionActivity.KEY).set(activity);
        connections
                .open(activity)
                .ifPresent(closing -> closing.channel.eventLoop().execute(() -> close(closing)));
        channel.closeFuture().addListener(future -> activity.recordClose());
    }

    /** Closes a connection, unless an exchange has begun on it since it was chosen. */
    private void close(Activity activity) {
        if (connections.isBusy(activity) || !activity.channel.isOpen()) {
            return;
        }
        closed.inc();
        log.logClosedConnection(listener, maximum);
        activity.channel.close();
    }

    /** The exchanges of a connection, as the limit sees them. Used on the connection's event loop. */
    private final class Activity implements ConnectionActivity {

        /** The connection. */
        private final Channel channel;

        /** Whether the connection has closed. */
        private boolean ended;

        /** Creates the activity of a connection. */
        private Activity(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void begin() {
            if (!ended) {
                connections.begin(this);
            }
        }

        @Override
        public void end() {
            connections.end(this);
        }

        /** Records that the connection has closed. */
        private void recordClose() {
            ended = true;
            connections.remove(this);
        }
    }
}
