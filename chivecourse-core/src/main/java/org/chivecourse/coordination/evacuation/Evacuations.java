package org.chivecourse.coordination.evacuation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.server.ServerState;

/**
 * The data centres whose backend servers get no requests because the operator has asked for it.
 *
 * <p>Each change is audited. The state follows what is published and configured now: it keeps no evacuation whose item
 * is gone, also if the publisher lost the item, so that all gateways agree and the operator finds the truth in one
 * place.
 */
public final class Evacuations {

    /** The key of the configuration that names evacuated data centres. */
    private static final String CONFIGURATION_KEY = "evacuated-data-centres";

    /**
     * The time within which the backend servers of an evacuated data centre become known if it has any, in nanoseconds.
     */
    private static final long CHECK_DELAY_NANOSECONDS = 1_000_000_000L;

    /** The evacuations by data centre, in the order of their starts. */
    private final Map<String, Evacuation> evacuations = new LinkedHashMap<>();

    /** The data centres whose evacuation has ended since they were last taken. */
    private final Set<String> ended = new LinkedHashSet<>();

    /** The number of attempts that were withdrawn. */
    private long withdrawnAttempts;

    /** The number of calls that were refused. */
    private long refusedCalls;

    /** Creates an instance without evacuations. */
    public Evacuations() {}

    /**
     * Starts the evacuation of a data centre, or adds a request to one that goes on.
     *
     * @return whether it has started
     */
    public boolean request(String dataCentre, EvacuationRequest request, long now, DecisionSink sink) {
        Evacuation known = evacuations.get(dataCentre);
        Evacuation evacuation = known == null ? new Evacuation(dataCentre, now) : known;
        boolean added = !evacuation.requestedBy(request.origin());
        evacuation.request(request);
        evacuations.put(dataCentre, evacuation);
        if (added) {
            String from = known == null ? "taking requests" : "evacuated";
            audit(dataCentre, from, "evacuated", request.describe(), request.revision(), sink);
        }
        return known == null;
    }

    /**
     * Ends the request of an origin to evacuate a data centre, and the evacuation if that was the last request.
     *
     * @param reason why it ends, for the audit log
     * @param revision the revision with which it ends
     * @return whether the evacuation has ended
     */
    public boolean withdraw(
            String dataCentre, EvacuationOrigin origin, String reason, long revision, DecisionSink sink) {
        Evacuation evacuation = evacuations.get(dataCentre);
        if (evacuation == null || !evacuation.withdraw(origin)) {
            return false;
        }
        boolean over = !evacuation.requested();
        audit(dataCentre, "evacuated", over ? "taking requests" : "evacuated", reason, revision, sink);
        if (over) {
            evacuations.remove(dataCentre);
            ended.add(dataCentre);
        }
        return over;
    }

    /**
     * Applies the data centres that a configuration which is put in force names, in place of those of the previous one.
     *
     * @param revision the revision of the configuration
     * @param source the origin of the configuration, for the audit log
     */
    public void configure(Collection<String> dataCentres, long revision, String source, long now, DecisionSink sink) {
        for (Evacuation evacuation : List.copyOf(evacuations.values())) {
            if (!dataCentres.contains(evacuation.dataCentre())) {
                String reason = CONFIGURATION_KEY + " from " + source;
                withdraw(evacuation.dataCentre(), EvacuationOrigin.CONFIGURATION, reason, revision, sink);
            }
        }
        EvacuationRequest request =
                new EvacuationRequest(EvacuationOrigin.CONFIGURATION, CONFIGURATION_KEY, revision, source);
        dataCentres.forEach(dataCentre -> request(dataCentre, request, now, sink));
    }

    /**
     * Audits the evacuations of data centres in which no backend server is known, each once, a little after their
     * start. They hold for backend servers that appear later.
     *
     * @param known whether a backend server of a data centre is known
     */
    public void auditUnknown(Predicate<String> known, long now, DecisionSink sink) {
        for (Evacuation evacuation : evacuations.values()) {
            if (evacuation.startCheck(CHECK_DELAY_NANOSECONDS, now) && !known.test(evacuation.dataCentre())) {
                String reason = "no backend server is known in this data centre, check its name";
                audit(evacuation.dataCentre(), "evacuated", "evacuated", reason, 0, sink);
            }
        }
    }

    /** Writes the audit record of a change. */
    private static void audit(
            String dataCentre, String from, String to, String cause, long revision, DecisionSink sink) {
        sink.decide(new Decision.Audit(
                new Decision.Change(Decision.Subject.DATA_CENTRE_EVACUATED, dataCentre, from, to, cause, revision)));
    }

    /** Returns whether a backend server is in an evacuated data centre. */
    public boolean covers(ServerState server) {
        return !evacuations.isEmpty() && evacuations.containsKey(server.server().dataCentre());
    }

    /** Returns the backend servers that are not in an evacuated data centre, in their order. */
    public List<ServerState> without(List<ServerState> servers) {
        if (evacuations.isEmpty()) {
            return servers;
        }
        List<ServerState> others = new ArrayList<>(servers);
        others.removeIf(this::covers);
        return others;
    }

    /**
     * Decides whether an attempt that could be sent now is withdrawn, because its backend server is in a data centre
     * whose evacuation started meanwhile, and counts it if so.
     */
    public boolean withdraws(AttemptState attempt) {
        boolean withdrawn = !attempt.forwarded() && covers(attempt.server());
        withdrawnAttempts += withdrawn ? 1 : 0;
        return withdrawn;
    }

    /** Records that a call was refused because all backend servers that could take it are in evacuated data centres. */
    public void recordRefusal() {
        refusedCalls++;
    }

    /** Returns the data centres whose evacuation has ended since the last invocation. */
    public Set<String> takeEnded() {
        Set<String> taken = Set.copyOf(ended);
        ended.clear();
        return taken;
    }

    /**
     * Returns the time since the latest start of the evacuations that cover some of the given backend servers, in
     * nanoseconds, zero if none does.
     */
    public long latestAge(List<ServerState> servers, long now) {
        long latest = Long.MAX_VALUE;
        for (ServerState server : servers) {
            Evacuation evacuation = evacuations.get(server.server().dataCentre());
            latest = evacuation == null ? latest : Math.min(latest, now - evacuation.since());
        }
        return latest == Long.MAX_VALUE ? 0 : latest;
    }

    /** Returns the evacuations, in the order of their starts. */
    public Collection<Evacuation> all() {
        return List.copyOf(evacuations.values());
    }

    /** Returns the number of attempts that were withdrawn before a byte was sent. */
    public long withdrawnAttempts() {
        return withdrawnAttempts;
    }

    /** Returns the number of calls that were refused. */
    public long refusedCalls() {
        return refusedCalls;
    }
}
