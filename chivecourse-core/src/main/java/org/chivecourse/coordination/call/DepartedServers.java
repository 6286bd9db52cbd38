package org.chivecourse.coordination.call;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.chivecourse.state.server.ServerState;

/**
 * Remembers what backend servers made known of themselves while their announcement is gone. An announcement may lapse
 * and return although the process goes on running, and what it said still holds then.
 */
final class DepartedServers {

    /** The maximum number of processes that are remembered, the latest ones. Bounds the memory used. */
    private static final int MAXIMUM_PROCESSES = 500;

    /** The states of the backend servers by the name of their process, the earliest departure first. */
    private final Map<String, ServerState> departed = new LinkedHashMap<>();

    /**
     * Remembers the backend servers that are no longer there and made something known, and returns what it remembers to
     * those that are back.
     *
     * @param before the backend servers before a change
     * @param after the backend servers after it, by identity
     */
    void update(Collection<ServerState> before, Map<String, ServerState> after) {
        for (ServerState server : before) {
            if (server.server().announced() && server.hasStatements() && after.get(server.identity()) != server) {
                departed.put(server.processName(), server);
            }
        }
        if (departed.isEmpty()) {
            return;
        }
        for (ServerState server : after.values()) {
            ServerState earlier = departed.remove(server.processName());
            if (earlier != null) {
                server.adoptStatements(earlier);
            }
        }
        while (departed.size() > MAXIMUM_PROCESSES) {
            departed.remove(departed.keySet().iterator().next());
        }
    }
}
