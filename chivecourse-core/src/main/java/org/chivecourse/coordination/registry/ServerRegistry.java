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
 * <p>A withdrawn announcement removes its backend server immediately. If the publisher was unreachable for the whole
 * fleet, announcements may have expired although their backend servers are running. These are kept for the time that a
 * running backend server needs to announce itself again.
 */
public final class ServerRegistry {

    /** The time for which a backend server is kept whose announcement may have expired in an outage, in nanoseconds. */
    public static final long REANNOUNCEMENT_GRACE_NANOSECONDS = 2_200_000_000L;

    /**
     * The maximum number of backend servers whose latest announcement is remembered; the one announced longest ago is
     * forgotten first.
     */
    private static final int MAXIMUM_REMEMBERED_ANNOUNCEMENTS = 4096;

    /** The announced backend servers by key, including withdrawn ones that are kept. */
    private final Map<String, RegisteredServer> servers = new LinkedHashMap<>();

    /**
     * The latest announcement of each backend server by identity, including removed ones, to recognize outdated
     * announcements.
     */
    private final Map<String, RegisteredServer> latestAnnouncements = new LinkedHashMap<>();

    /** The times in nanoseconds until which withdrawn backend servers are kept, by key. */
    private final Map<String, Long> keptUntil = new HashMap<>();

    /**
     * Applies an announcement. One that is older than the latest announcement of its backend server is ignored.
     *
     * @param key the key of the announcement
     * @param server the backend server
     * @return whether anything changed
     */
    public boolean announce(String key, RegisteredServer server) {
        RegisteredServer latest = latestAnnouncements.get(server.identity());
        if (latest != null && server.olderThan(latest)) {
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
     * Applies an announcement that a publisher which was restored from a copy has. One of a backend server that was
     * removed is ignored unless it is newer than its latest one.
     *
     * @param key the key of the announcement
     * @param server the backend server
     * @return whether anything changed
     */
    public boolean announceRestored(String key, RegisteredServer server) {
        RegisteredServer latest = latestAnnouncements.get(server.identity());
        boolean removed = latest != null && !servers.containsKey(key);
        return (!removed || latest.olderThan(server)) && announce(key, server);
    }

    /**
     * Applies the withdrawal of an announcement.
     *
     * @param key the key of the announcement
     * @param keepUntil the time until which the backend server is kept, in nanoseconds; the current time to remove it
     *     immediately
     * @param now the current time in nanoseconds
     * @return whether a backend server was removed
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
     * Returns whether a backend server is announced and has not announced that it is leaving.
     *
     * @param key the key of the announcement
     * @return {@code true} if it is in service
     */
    public boolean inService(String key) {
        RegisteredServer server = servers.get(key);
        return server != null && !server.leaving();
    }

    /**
     * Removes the withdrawn backend servers that were kept and whose time has passed.
     *
     * @param now the current time in nanoseconds
     * @return whether any was removed
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

    /** Returns the number of backend servers, including withdrawn ones that are kept. */
    public int size() {
        return servers.size();
    }
}
