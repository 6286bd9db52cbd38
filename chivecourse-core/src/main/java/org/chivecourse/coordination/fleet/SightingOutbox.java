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
public final class SightingOutbox {

    /** The largest number of sightings in a digest. */
    static final int LARGEST_SIGHTINGS = 24;

    /** The largest number of crashes in a digest. */
    private static final int LARGEST_CRASHES = 8;

    /** The sightings for the same data centre, the newest of each kind for each backend server. */
    private final Map<String, Observation> near = new LinkedHashMap<>();

    /** The sightings for other data centres. */
    private final Map<String, Observation> far = new LinkedHashMap<>();

    /** The crashes. */
    private final List<Crash> crashes = new ArrayList<>();

    /**
     * Adds a sighting.
     *
     * @param sighting the sighting
     */
    public void add(Observation sighting) {
        put(near, sighting);
        put(far, sighting);
    }

    /**
     * Adds a sighting of another gateway of the same data centre, which is told to others.
     *
     * @param sighting the sighting
     */
    void addForFar(Observation sighting) {
        put(far, sighting);
    }

    /**
     * Adds a sighting of a gateway of another data centre, which is told to the gateways of this one.
     *
     * @param sighting the sighting
     */
    void addForNear(Observation sighting) {
        put(near, sighting);
    }

    /**
     * Puts a sighting in place of one of its kind, or together with it; a stated load also takes the place of what was
     * handed over before.
     *
     * @param box the sightings by key
     * @param sighting the sighting
     */
    private static void put(Map<String, Observation> box, Observation sighting) {
        box.merge(key(sighting.server(), sighting.kind()), sighting, sighting.kind()::merge);
        if (sighting.kind() == ObservationKind.LOAD) {
            box.computeIfPresent(
                    key(sighting.server(), ObservationKind.HANDED),
                    (key, handed) -> handed.observedAt() - sighting.observedAt() > 0 ? handed : null);
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
    void forgetFar() {
        far.clear();
    }

    /**
     * Adds a crash.
     *
     * @param crash the crash
     */
    public void add(Crash crash) {
        if (crashes.size() < LARGEST_CRASHES) {
            crashes.add(crash);
        }
    }

    /**
     * Returns whether there is anything to tell the same data centre.
     *
     * @return {@code true} if there are sightings
     */
    boolean anyForNear() {
        return !near.isEmpty();
    }

    /**
     * Takes the sightings for the same data centre.
     *
     * @return the sightings, loads first, since what was handed over counts after them
     */
    List<Observation> pollNear() {
        return poll(near);
    }

    /**
     * Takes the sightings for other data centres.
     *
     * @return the sightings, loads first, since what was handed over counts after them
     */
    List<Observation> pollFar() {
        return poll(far);
    }

    /**
     * Takes sightings.
     *
     * @param box the sightings by key
     * @return the sightings, loads first, since what was handed over counts after them
     */
    private static List<Observation> poll(Map<String, Observation> box) {
        List<Observation> taken = new ArrayList<>();
        var iterator = box.values().iterator();
        while (iterator.hasNext() && taken.size() < LARGEST_SIGHTINGS) {
            taken.add(iterator.next());
            iterator.remove();
        }
        taken.sort(Comparator.comparing(Observation::kind));
        return taken;
    }

    /**
     * Takes the crashes.
     *
     * @return the crashes
     */
    List<Crash> pollCrashes() {
        List<Crash> taken = List.copyOf(crashes);
        crashes.clear();
        return taken;
    }
}
