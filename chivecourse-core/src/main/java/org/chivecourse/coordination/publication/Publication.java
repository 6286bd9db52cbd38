package org.chivecourse.coordination.publication;

import org.chivecourse.configuration.format.LoadedConfiguration;
import org.chivecourse.state.server.RegisteredServer;

/** The meaning of a published item. */
public sealed interface Publication {

    /**
     * The announcement of a backend server.
     *
     * @param server the announced backend server
     */
    record ServerAnnouncement(RegisteredServer server) implements Publication {}

    /**
     * A published configuration.
     *
     * @param configuration the configuration
     */
    record PublishedConfiguration(LoadedConfiguration configuration) implements Publication {}

    /**
     * An item that is meant for gateways but cannot be decoded.
     *
     * @param reason the error, for the audit log
     */
    record Unreadable(String reason) implements Publication {}

    /** An item that does not concern gateways. */
    enum Unrelated implements Publication {
        /** The only instance. */
        INSTANCE
    }
}
