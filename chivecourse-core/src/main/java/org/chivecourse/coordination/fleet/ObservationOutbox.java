package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.chivecourse.state.fleet.Crash;
import org.chivecourse.state.fleet.Observation;
import org.chivecourse.state.fleet.ObservationKind;

/** Collects observations and crashes of backend servers until they are sent to other gateways. */
public final class ObservationOutbox {

    /** The maximum number of observations in a digest. */
    static final int MAXIMUM_OBSERVATIONS_PER_DIGEST = 24;

    /** The number of observations that take as much of a digest as the report of a request limit. */
    private static final int OBSERVATIONS_PER_LIMIT_REPORT = 2;

    /** The maximum number of crashes that are pending at the same time; further ones are dropped. */
    private static final int MAXIMUM_PENDING_CRASHES = 64;

    /** The maximum number of crashes in a digest. */
    private static final int MAXIMUM_CRASHES_PER_DIGEST = 8;

    /** The observations for the same data centre, merged to one of each kind for each backend server. */
    private final Map<String, Observation> local = new LinkedHashMap<>();

    /** The observations for other data centres, merged to one of each kind for each backend server. */
    private final Map<String, Observation> remote = new LinkedHashMap<>();

    /** Whether an urgent observation for the same data centre is pending. */
    private boolean urgentLocal;

    /** Whether an urgent observation for other data centres is pending. */
    private boolean urgentRemote;

    /** Whether an observation is needed in other data centres. */
    private Predicate<Observation> remoteFilter = observation -> true;

    /** The crashes that have not been sent yet. */
    private final List<Crash> crashes = new ArrayList<>();

    /** Replaces the condition under which observations are kept for other data centres. */
    void setRemoteFilter(Predicate<Observation> filter) {
        remoteFilter = filter;
    }

    /**
     * Adds an observation of this gateway, for the same and for other data centres.
     *
     * @param observation the observation
     */
    public void add(Observation observation) {
        addForLocal(observation);
        addForRemote(observation);
    }

    /**
     * Adds an observation that gateways of the same data centre know, to be relayed to other data centres.
     *
     * @param observation the observation
     */
    public void addForRemote(Observation observation) {
        if (!remoteFilter.test(observation)) {
            return;
        }
        merge(remote, observation);
        urgentRemote |= observation.kind().urgent();
    }

    /**
     * Adds an observation of a gateway of another data centre, to be forwarded within this one.
     *
     * @param observation the observation
     */
    void addForLocal(Observation observation) {
        merge(local, observation);
        urgentLocal |= observation.kind().urgent();
    }

    /**
     * Merges an observation with the pending one of the same kind and backend server. A load report also removes
     * pending dispatches that are not newer, since it counts them already.
     *
     * @param pending the pending observations by key
     * @param observation the observation
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
     * Returns the key under which an observation is pending.
     *
     * @param server the identity of the backend server
     * @param kind the kind of observation
     * @return the key, unique for each backend server and kind
     */
    private static String key(String server, ObservationKind kind) {
        return server + kind.ordinal();
    }

    /** Discards the observations for other data centres, which another gateway relays. */
    void discardRemote() {
        remote.clear();
        urgentRemote = false;
    }

    /**
     * Adds a crash, unless {@link #MAXIMUM_PENDING_CRASHES} are pending already.
     *
     * @param crash the crash
     */
    public void add(Crash crash) {
        if (crashes.size() < MAXIMUM_PENDING_CRASHES) {
            crashes.add(crash);
        }
    }

    /**
     * Returns whether observations for the same data centre are pending.
     *
     * @return {@code true} if there is at least one
     */
    boolean hasLocal() {
        return !local.isEmpty();
    }

    /** Returns whether an urgent observation for the same data centre is pending. */
    boolean hasUrgentLocal() {
        return urgentLocal;
    }

    /** Returns whether an urgent observation for other data centres is pending. */
    boolean hasUrgentRemote() {
        return urgentRemote;
    }

    /**
     * Removes and returns observations for the same data centre.
     *
     * @param limitReports the number of request limits that the same digest reports
     * @return at most {@link #MAXIMUM_OBSERVATIONS_PER_DIGEST} observations, fewer beside reports of request limits,
     *     load reports first, since dispatches add to them
     */
    List<Observation> pollLocal(int limitReports) {
        urgentLocal = false;
        return poll(local, MAXIMUM_OBSERVATIONS_PER_DIGEST - limitReports * OBSERVATIONS_PER_LIMIT_REPORT);
    }

    /**
     * Removes and returns observations for other data centres.
     *
     * @return at most {@link #MAXIMUM_OBSERVATIONS_PER_DIGEST} observations, load reports first, since dispatches add
     *     to them
     */
    List<Observation> pollRemote() {
        urgentRemote = false;
        return poll(remote, MAXIMUM_OBSERVATIONS_PER_DIGEST);
    }

    /**
     * Removes and returns pending observations in the order in which they were added.
     *
     * @param pending the pending observations by key
     * @param maximum the maximum number of observations
     * @return the observations, load reports first, since dispatches add to them
     */
    private static List<Observation> poll(Map<String, Observation> pending, int maximum) {
        List<Observation> polled = new ArrayList<>();
        var iterator = pending.values().iterator();
        while (iterator.hasNext() && polled.size() < maximum) {
            polled.add(iterator.next());
            iterator.remove();
        }
        polled.sort(Comparator.comparing(Observation::kind));
        return polled;
    }

    /**
     * Removes and returns pending crashes in the order in which they were added.
     *
     * @return at most {@link #MAXIMUM_CRASHES_PER_DIGEST} crashes
     */
    List<Crash> pollCrashes() {
        List<Crash> pending = crashes.subList(0, Math.min(MAXIMUM_CRASHES_PER_DIGEST, crashes.size()));
        List<Crash> polled = List.copyOf(pending);
        pending.clear();
        return polled;
    }
}
