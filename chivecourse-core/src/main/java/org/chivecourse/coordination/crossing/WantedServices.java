package org.chivecourse.coordination.crossing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** The services whose single loads other gateways asked for, by the data centre that needs them. */
public final class WantedServices {

    /** The time for which a request from another data centre holds, in nanoseconds. */
    public static final long REMOTE_LIFETIME_NANOSECONDS = 1_600_000_000L;

    /** The time for which a request from the same data centre holds, in nanoseconds. */
    public static final long LOCAL_LIFETIME_NANOSECONDS = 700_000_000L;

    /** The ends of the requests in nanoseconds, by data centre and service. */
    private final Map<String, Map<String, Long>> ends = new HashMap<>();

    /**
     * Records the services that a gateway of a data centre asked for.
     *
     * @param lifetime the time for which the request holds, in nanoseconds
     */
    public void record(String dataCentre, List<String> services, long lifetime, long now) {
        for (String service : services) {
            ends.computeIfAbsent(dataCentre, key -> new HashMap<>()).put(service, now + lifetime);
        }
    }

    /** Returns whether a data centre needs the single loads of a service. */
    public boolean needs(String dataCentre, String service, long now) {
        Long end = ends.getOrDefault(dataCentre, Map.of()).get(service);
        return end != null && now - end < 0;
    }

    /** Returns the number of data centres other than the given one that need the single loads of a service. */
    public int countNeeding(String exceptDataCentre, String service, long now) {
        int count = 0;
        for (String dataCentre : ends.keySet()) {
            count += !dataCentre.equals(exceptDataCentre) && needs(dataCentre, service, now) ? 1 : 0;
        }
        return count;
    }

    /** Returns the services that a data centre needs, in the order of their names. */
    public List<String> ofDataCentre(String dataCentre, long now) {
        TreeSet<String> services =
                new TreeSet<>(ends.getOrDefault(dataCentre, Map.of()).keySet());
        services.removeIf(service -> !needs(dataCentre, service, now));
        return List.copyOf(services);
    }
}
