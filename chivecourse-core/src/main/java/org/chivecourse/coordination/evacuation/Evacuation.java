package org.chivecourse.coordination.evacuation;

import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** The evacuation of a data centre, from the first request for it to the end of the last one. */
public final class Evacuation {

    /** The name of the data centre. */
    private final String dataCentre;

    /** The time at which this gateway learnt of it, in nanoseconds. */
    private final long since;

    /** The requests for it that hold. */
    private final Map<EvacuationOrigin, EvacuationRequest> requests = new EnumMap<>(EvacuationOrigin.class);

    /** Whether it was checked that the data centre has backend servers. */
    private boolean checked;

    /**
     * Creates an evacuation without requests.
     *
     * @param dataCentre the name of the data centre
     * @param since the time at which this gateway learnt of it, in nanoseconds
     */
    Evacuation(String dataCentre, long since) {
        this.dataCentre = dataCentre;
        this.since = since;
    }

    /** Records a request, which replaces an earlier one of its origin. */
    void request(EvacuationRequest request) {
        requests.put(request.origin(), request);
    }

    /** Records that the request of an origin has ended, and returns whether there was one. */
    boolean withdraw(EvacuationOrigin origin) {
        return requests.remove(origin) != null;
    }

    /** Returns whether a request for it holds. */
    boolean requested() {
        return !requests.isEmpty();
    }

    /** Returns whether an origin requests it. */
    boolean requestedBy(EvacuationOrigin origin) {
        return requests.containsKey(origin);
    }

    /** Returns whether it is to be checked now that the data centre has backend servers, which is done once. */
    boolean startCheck(long after, long now) {
        boolean due = !checked && now - since >= after;
        checked |= due;
        return due;
    }

    /** Returns the name of the data centre. */
    public String dataCentre() {
        return dataCentre;
    }

    /** Returns the time at which this gateway learnt of it, in nanoseconds. */
    public long since() {
        return since;
    }

    /** Returns the requests for it that hold. */
    public Collection<EvacuationRequest> requests() {
        return List.copyOf(requests.values());
    }
}
