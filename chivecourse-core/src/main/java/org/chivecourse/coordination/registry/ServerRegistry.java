package org.chivecourse.coordination.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.chivecourse.state.server.RegisteredServer;

/**
 * The backend servers that announce themselves, by the key of their announcement.
 *
 * <p>An announcement that is withdrawn takes its backend server out at once. Where the publisher was out of reach for
 * the whole fleet, announcements may have expired though their backend servers live: those are kept for the time that
 * living ones need to announce themselves again.
 */
public final class ServerRegistry {

    /** The time for which a backend server is kept whose announcement may have expired in an outage. */
    public static final long REANNOUNCEMENT_GRACE_NANOSECONDS = 2_200_000_000L;

    /** The largest number of backend servers whose latest announcement is remembered. */
    private static final int MAXIMUM_REMEMBERED_ANNOUNCEMENTS = 4096;

    /** The announced backend servers by key. */
    private final Map<String, RegisteredServer> servers = new LinkedHashMap<>();

    /** The latest announcement by identity, also of backend servers that are gone. */
    private final Map<String, RegisteredServer> latestAnnouncements = new LinkedHashMap<>();

    /** The times until which withdrawn backend servers are kept, by key. */
    private final Map<String, Long> keptUntil = new HashMap<>();

    /**
     * Takes an announcement; one that is older than what is known of its backend server changes nothing.
     *
     * @param key the key of the announcement
     * @param server the backend server
     * @return whether anything changed
     */
    public boolean announce(String key, RegisteredServer server) {
        RegisteredServer known = latestAnnouncements.get(server.identity());
        if (known != null && server.olderThan(known)) {
            return false;
        }
        latestAnnouncements.remove(server.identity());
        latestAnnouncements.put(server.identity(), server);
        if (latestAnnouncements.size() > MAXIMUM_REMEMBERED_ANNOUNCEMENTS) {
            latestAnnouncements.remove(latestAnnouncements.keySet().iterator().next());
        }
        keptUntil.remove(key);
        return !server.equals(servers.put(key, server));
    }

    /**
     * Takes the withdrawal of an announcement.
     *
     * @param key the key of the announcement
     * @param keepUntil the time until which its backend server is kept, in nanoseconds, or the present time
     * @param now the time in nanoseconds
     * @return whether anything changed
     */
    public boolean withdraw(String key, long keepUntil, long now) {
        if (!servers.containsKey(key)) {
            return false;
        }
        if (keepUntil - now > 0) {
            keptUntil.put(key, keepUntil);
            return false;
        }
        keptUntil.remove(key);
        return servers.remove(key) != null;
    }

    /**
     * Returns whether a backend server is announced and has not said that it leaves.
     *
     * @param key the key of the announcement
     * @return {@code true} if it takes requests
     */
    public boolean inService(String key) {
        RegisteredServer server = servers.get(key);
        return server != null && !server.leaving();
    }

    /**
     * Takes out the withdrawn backend servers whose time has passed.
     *
     * @param now the time in nanoseconds
     * @return whether anything changed
     */
    public boolean removeExpired(long now) {
        if (keptUntil.isEmpty()) {
            return false;
        }
        List<String> due = new ArrayList<>();
        keptUntil.forEach((key, until) -> {
            if (now - until >= 0) {
                due.add(key);
            }
        });
        for (String key : due) {
            keptUntil.remove(key);
            servers.remove(key);
        }
        return !due.isEmpty();
    }

    /**
     * Returns the backend servers of a service.
     *
     * @param service the name of the service
     * @return the backend servers in the order of their first announcement
     */
    public List<RegisteredServer> ofService(String service) {
        List<RegisteredServer> found = new ArrayList<>();
        for (RegisteredServer server : servers.values()) {
            if (server.service().equals(service)) {
                found.add(server);
            }
        }
        return found;
    }

    /**
     * Returns the number of backend servers.
     *
     * @return the number, those that are kept for a while included
     */
    public int size() {
        return servers.size();
    }
}
