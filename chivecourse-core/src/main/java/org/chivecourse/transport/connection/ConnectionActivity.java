package org.chivecourse.transport.connection;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;

/** Is told of the exchanges on a connection, on its event loop. */
public interface ConnectionActivity {

    /** The attribute of a connection that holds its activity. */
    AttributeKey<ConnectionActivity> KEY = AttributeKey.valueOf("chivecourse.activity");

    /** Records that an exchange begins on the connection, which had none. */
    void begin();

    /** Records that the connection has no exchange any more. */
    void end();

    /**
     * Returns the activity of a connection.
     *
     * @param channel the connection
     * @return the activity, {@link Disabled#INSTANCE} if the connection belongs to no limit
     */
    static ConnectionActivity of(Channel channel) {
        ConnectionActivity activity = channel.attr(KEY).get();
        return activity == null ? Disabled.INSTANCE : activity;
    }

    /** Records nothing. */
    enum Disabled implements ConnectionActivity {
        /** The only instance. */
        INSTANCE;

        @Override
        public void begin() {
            // The connection belongs to no limit.
        }

        @Override
        public void end() {
            // The connection belongs to no limit.
        }
    }
}
