package org.chivecourse.coordination.choice;

import java.util.List;
import java.util.function.Predicate;
import org.chivecourse.state.server.ServerState;

/** The backend servers of a service among which one is chosen, without allocation per choice. */
public final class Candidates {

    /** The backend servers that may be chosen, in the first {@code size} places. */
    private ServerState[] servers = new ServerState[16];

    /** The number of backend servers that may be chosen. */
    private int size;

    /** The time of the choice in nanoseconds. */
    private long now;

    /**
     * Collects the backend servers that may be chosen.
     *
     * @param all the backend servers of the service
     * @param eligible whether a backend server may be chosen
     * @param time the time of the choice in nanoseconds
     */
    public void collect(List<ServerState> all, Predicate<ServerState> eligible, long time) {
        if (servers.length < all.size()) {
            servers = new ServerState[all.size()];
        }
        size = 0;
        now = time;
        for (int index = 0; index < all.size(); index++) {
            ServerState server = all.get(index);
            if (eligible.test(server)) {
                servers[size++] = server;
            }
        }
    }

    /**
     * Returns the number of backend servers that may be chosen.
     *
     * @return the number
     */
    public int size() {
        return size;
    }

    /**
     * Returns a backend server.
     *
     * @param index the place, less than {@link #size()}
     * @return the backend server
     */
    public ServerState get(int index) {
        return servers[index];
    }

    /**
     * Returns the time of the choice.
     *
     * @return the time in nanoseconds
     */
    public long now() {
        return now;
    }
}
