package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.chivecourse.state.fleet.Crash;
import org.chivecourse.state.fleet.Observation;
import org.chivecourse.state.fleet.ObservationKind;

/** What a gateway saw of backend servers and has not told others yet. */
public final class ObservationOutbox {

    /** The largest number of sightings in a digest. */
    static final int MAXIMUM_OBSERVATIONS_PER_DIGEST = 24;

    /** The largest number of crashes in a digest. */
    private static final int MAXIMUM_PENDING_CRASHES = 8;

    /** The sightings for the same data centre, the newest of each kind for each backend server. */
    private final Map<String, Observation> local = new LinkedHashMap<>();

    /** The sightings for other data centres. */
    private final Map<String, Observation> remote = new LinkedHashMap<>();

    /** The crashes. */
    private final List<Crash> crashes = new ArrayList<>();

    /**
     * Adds a sighting.
     *
     * @param observation the sighting
     */
    public void add(Observation observation) {
        merge(local, observation);
        merge(remote, observation);
    }

    /**
     * Adds a sighting of another gateway of the same data centre, which is told to others.
     *
     * @param observation the sighting
     */
    void addForRemote(Observation observation) {
        merge(remote, observation);
    }

    /**
     * Adds a sighting of a gateway of another data centre, which is told to the gateways of this one.
     *
     * @param observation the sighting
     */
    void addForLocal(Observation observation) {
        merge(local, observation);
    }

    /**
     * Puts a sighting in place of one of its kind, or together with it; a stated load also takes the place of what was
     * handed over before.
     *
     * @param pending the sightings by key
     * @param observation the sighting
     */
    private static void merge(Map<String, Observation> pending, Observation observation) {
        pending.merge(key(observation.server(), observation.kind()), observation, observation.kind()::merge);
        if (observation.kind() == ObservationKind.LOAD) {
            pending.computeIfPresent(
                    key(observation.server(), ObservationKind.HANDED),
                    (key, dispatched) -> dispatched.observedAt() - observation.observedAt() > 0 ? dispatched : null);
        }
    }

    /**
     * Returns the key of a sighting.
     *
     * @param server the identity of the backend server
     * @param kind what was seen
     * @return the key
     */
    private static String key(String server, ObservationKind kind) {
        return server + kind.ordinal();
    }

    /**
     * Forgets the sightings for other data centres, which another gateway tells.
     */
    void discardRemote() {
        remote.clear();
    }

    /**
     * Adds a crash.
     *
     * @param crash the crash
     */
    public void add(Crash crash) {
        if (crashes.size() < MAXIMUM_PENDING_CRASHES) {
            crashes.add(crash);
        }
    }

    /**
     * Returns whether there is anything to tell the same data centre.
     *
     * @return {@code true} if there are sightings
     */
    boolean hasLocal() {
        return !local.isEmpty();
    }

    /**
     * Takes the sightings for the same data centre.
     *
     * @return the sightings, loads first, since what was handed over counts after them
     */
    List<Observation> pollLocal() {
        return poll(local);
    }

    /**
     * Takes the sightings for other data centres.
     *
     * @return the sightings, loads first, since what was handed over counts after them
     */
    List<Observation> pollRemote() {
        return poll(remote);
    }

    /**
     * Takes sightings.
     *
     * @param pending the sightings by key
     * @return the sightings, loads first, since what was handed over counts after them
     */
    private static List<Observation> poll(Map<String, Observation> pending) {
        List<Observation> polled = new ArrayList<>();
        var iterator = pending.values().iterator();
        while (iterator.hasNext() && polled.size() < MAXIMUM_OBSERVATIONS_PER_DIGEST) {
            polled.add(iterator.next());
            iterator.remove();
        }
        polled.sort(Comparator.comparing(Observation::kind));
        return polled;
    }

    /**
     * Takes the crashes.
     *
     * @return the crashes
     */
    List<Crash> pollCrashes() {
        List<Crash> polled = List.copyOf(crashes);
        crashes.clear();
        return polled;
    }
}
