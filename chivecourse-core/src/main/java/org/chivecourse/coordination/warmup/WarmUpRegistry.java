package org.chivecourse.coordination.warmup;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.chivecourse.coordination.call.ServiceRegistry;
import org.chivecourse.coordination.call.ServiceState;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.state.fleet.WarmUpReport;
import org.chivecourse.state.server.ServerState;
import org.chivecourse.state.server.ServerWarmUp;

/** Records which backend servers are cold, of the services that configure a warm-up. */
public final class WarmUpRegistry {

    /** The time between two scans of the backend servers, in nanoseconds. */
    private static final long SCAN_INTERVAL_NANOSECONDS = 100_000_000L;

    /** The age up to which statements are repeated to other gateways, in nanoseconds. */
    private static final long REPETITION_NANOSECONDS = 2_000_000_000L;

    /** The age from which no statement is reported, in nanoseconds; other gateways do not take much older ones. */
    private static final long MAXIMUM_AGE_NANOSECONDS = 300_000_000_000L;

    /** The services of the configuration in force. */
    private final ServiceRegistry services;

    /** Whether gateways elect those that send to a cold backend server. */
    private final boolean electsSenders;

    /** The cold backend servers at the last scan. */
    private Set<ServerState> cold = new LinkedHashSet<>();

    /** Those of which the audit says that they are cold: all but those that were never heard. */
    private final Set<ServerState> audited = new LinkedHashSet<>();

    /** Whether this gateway is in touch with others, or cannot be. */
    private boolean inTouch;

    /** The time of the last scan. */
    private long scannedAt = Long.MIN_VALUE / 2;

    /** The backend servers whose statement the gateways of this data centre were not told. */
    private final Set<ServerState> pendingLocal = new LinkedHashSet<>();

    /** The backend servers whose statement other data centres were not told. */
    private final Set<ServerState> pendingRemote = new LinkedHashSet<>();

    /** The backend servers whose statements are repeated. */
    private final Set<ServerState> repeated = new LinkedHashSet<>();

    /** The number of requests that were held back before their first byte. */
    private long heldBack;

    /** The number of requests that were sent to cold backend servers. */
    private long sent;

    /**
     * Creates a registry without cold backend servers.
     *
     * @param services the services of the configuration in force
     * @param electsSenders whether gateways elect those that send to a cold backend server; otherwise all have equal
     *     shares
     */
    public WarmUpRegistry(ServiceRegistry services, boolean electsSenders) {
        this.services = services;
        this.electsSenders = electsSenders;
        inTouch = !electsSenders;
    }

    /**
     * Records what a backend server stated to this gateway.
     *
     * @param remainingNanoseconds the time for which it stays cold, zero if it is warm, {@code null} for no statement
     */
    public void recordStatement(ServerState server, Long remainingNanoseconds, long now) {
        if (remainingNanoseconds != null && server.warmUp().recordStatement(remainingNanoseconds, now, "probe")) {
            pendingLocal.add(server);
            pendingRemote.add(server);
            repeated.add(server);
        }
    }

    /**
     * Applies what another gateway reports. Ignored if this gateway does not know that process of the backend server.
     *
     * @param gateway the name of the other gateway
     * @param local whether it is in the same data centre
     */
    public void apply(WarmUpReport report, String gateway, boolean local) {
        ServerState server = services.server(report.server());
        if (server == null || server.incarnation() != report.incarnation()) {
            return;
        }
        if (server.warmUp().recordReport(report.remainingNanoseconds(), report.statedAt(), gateway)) {
            (local ? pendingRemote : pendingLocal).add(server);
            repeated.add(server);
        }
    }

    /**
     * Counts the backend servers of a data centre as cold until they state something else, for example because they got
     * no requests while the data centre was evacuated.
     *
     * @param dataCentre the name of the data centre
     * @param cause why, for the audit record
     */
    public void assumeCold(String dataCentre, String cause, long now) {
        for (ServerState server : servers()) {
            if (server.server().dataCentre().equals(dataCentre)) {
                server.warmUp().assumeCold(now, cause);
            }
        }
    }

    /** Records whether this gateway is in touch with others, which tell it of cold backend servers. */
    public void recordTouch(boolean touch) {
        inTouch = touch;
    }

    /** Counts a request that is sent to a backend server. */
    public void recordDispatch(ServerState server, long now) {
        sent += server.warmUp().limited(now) ? 1 : 0;
        server.warmUp().recordSent(now);
    }

    /** Counts a request that was held back before its first byte, if its backend server is cold. */
    public void recordHeldBack(ServerState server, long now) {
        heldBack += server.warmUp().limited(now) ? 1 : 0;
    }

    /**
     * Finds the cold backend servers, if that is due, and audits those that turned cold or warm.
     *
     * @param sink receives audit records
     */
    public void scan(long now, DecisionSink sink) {
        if (now - scannedAt < SCAN_INTERVAL_NANOSECONDS) {
            return;
        }
        scannedAt = now;
        forgetOutdated(now);
        List<ServerState> servers = servers();
        recordNews(servers);
        Set<ServerState> found = new LinkedHashSet<>();
        servers.forEach(server -> scan(server, found, now, sink));
        cold = found;
    }

    /** Returns the backend servers of the services that configure a warm-up. */
    private List<ServerState> servers() {
        List<ServerState> servers = new ArrayList<>();
        for (ServiceState service : services.all()) {
            if (service.service().warmUp().required()) {
                servers.addAll(service.servers());
            }
        }
        return servers;
    }

    /** Forgets backend servers that are gone, and statements that nobody needs any more. */
    private void forgetOutdated(long now) {
        audited.removeIf(this::gone);
        for (Set<ServerState> reported : List.of(pendingLocal, pendingRemote, repeated)) {
            reported.removeIf(server -> gone(server) || !worthReporting(server, now));
        }
    }

    /** Returns whether a backend server is gone, or has been replaced by another process. */
    private boolean gone(ServerState server) {
        return services.server(server.identity()) != server;
    }

    /** Checks whether a backend server is cold, and audits a change. */
    private void scan(ServerState server, Set<ServerState> found, long now, DecisionSink sink) {
        ServerWarmUp warmUp = server.warmUp();
        if (!warmUp.cold(now)) {
            warmUp.assignSenders(0);
            if (audited.remove(server)) {
                audit(server, "cold", "warm", warmUp.cause(now), sink);
            }
            return;
        }
        found.add(server);
        if (!electsSenders) {
            warmUp.assignSenders(services.hostCount());
        }
        if (warmUp.known() && audited.add(server)) {
            long remaining = warmUp.remainingNanoseconds(now);
            String until = remaining == ServerWarmUp.NEVER
                    ? ", until it is heard"
                    : ", for " + TimeUnit.NANOSECONDS.toMillis(remaining) + " ms";
            audit(server, "warm", "cold", warmUp.cause(now) + until, sink);
        }
    }

    /** Audits a change. */
    private void audit(ServerState server, String from, String to, String cause, DecisionSink sink) {
        sink.decide(new Decision.Audit(new Decision.Change(
                Decision.Subject.SERVER_COLD,
                server.identity(),
                from,
                to,
                cause,
                services.configuration().revision())));
    }

    /**
     * Records that gateways in touch with this one would have told it of cold backend servers, and for those elsewhere
     * that their data centre is in touch.
     */
    private void recordNews(List<ServerState> servers) {
        Map<String, Long> newsAt = new HashMap<>();
        for (ServerState server : servers) {
            newsAt.merge(server.server().dataCentre(), server.warmUp().heardAt(), Math::max);
        }
        for (ServerState server : servers) {
            if (inTouch) {
                server.warmUp().recordTouch();
            }
            if (!server.local()) {
                server.warmUp().recordNews(newsAt.get(server.server().dataCentre()));
            }
        }
    }

    /** Returns the cold backend servers at the last scan. */
    public Set<ServerState> cold() {
        return cold;
    }

    /** Returns whether the gateways of this data centre have to be told something. */
    public boolean hasLocal() {
        return !pendingLocal.isEmpty();
    }

    /** Returns whether other data centres have to be told something. */
    public boolean hasRemote() {
        return !pendingRemote.isEmpty();
    }

    /** Discards what other data centres have to be told, since another gateway tells them. */
    public void discardRemote() {
        pendingRemote.clear();
    }

    /**
     * Returns reports for the gateways of this data centre: new ones, then repeated ones in rotation.
     *
     * @param maximum the maximum number of reports
     */
    public List<WarmUpReport> pollLocal(int maximum, long now) {
        return poll(pendingLocal, maximum, now);
    }

    /**
     * Returns reports for other data centres: new ones, then repeated ones in rotation.
     *
     * @param maximum the maximum number of reports
     */
    public List<WarmUpReport> pollRemote(int maximum, long now) {
        return poll(pendingRemote, maximum, now);
    }

    /**
     * Returns reports for a gateway that has just started: repeated ones in rotation.
     *
     * @param maximum the maximum number of reports
     */
    public List<WarmUpReport> repeat(int maximum, long now) {
        return poll(new LinkedHashSet<>(), maximum, now);
    }

    /** Returns pending reports, which are removed, and repeated ones in rotation. */
    private List<WarmUpReport> poll(Set<ServerState> pending, int maximum, long now) {
        forgetOutdated(now);
        Set<ServerState> chosen = new LinkedHashSet<>();
        take(pending, chosen, maximum);
        Set<ServerState> rotated = new LinkedHashSet<>();
        take(repeated, rotated, maximum - chosen.size());
        repeated.addAll(rotated);
        chosen.addAll(rotated);
        return chosen.stream()
                .map(server -> new WarmUpReport(
                        server.identity(),
                        server.incarnation(),
                        server.warmUp().statedRemaining(),
                        server.warmUp().statedAt()))
                .toList();
    }

    /** Moves elements from one set to another one. */
    private static void take(Set<ServerState> from, Set<ServerState> to, int maximum) {
        Iterator<ServerState> iterator = from.iterator();
        for (int count = 0; count < maximum && iterator.hasNext(); count++) {
            to.add(iterator.next());
            iterator.remove();
        }
    }

    /** Returns whether a statement changed something recently, or the backend server is still cold by it. */
    private static boolean worthReporting(ServerState server, long now) {
        ServerWarmUp warmUp = server.warmUp();
        long age = now - warmUp.statedAt();
        boolean stillCold = age < Math.min(MAXIMUM_AGE_NANOSECONDS, warmUp.statedRemaining());
        return stillCold || now - warmUp.changedAt() < REPETITION_NANOSECONDS;
    }

    /** Returns the number of requests that were sent to cold backend servers. */
    public long sent() {
        return sent;
    }

    /** Returns the number of requests that were held back before their first byte. */
    public long heldBack() {
        return heldBack;
    }
}
