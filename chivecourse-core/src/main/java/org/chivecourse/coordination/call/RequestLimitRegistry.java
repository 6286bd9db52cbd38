package org.chivecourse.coordination.call;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.state.fleet.LimitReport;
import org.chivecourse.state.server.RequestLimit;
import org.chivecourse.state.server.ServerState;

/** Records the request limits that backend servers state, to this host or to others. */
public final class RequestLimitRegistry {

    /** The services of the configuration in force. */
    private final ServiceRegistry services;

    /** The source of randomness, by which hosts that wait for the same permit spread their requests. */
    private final RandomGenerator random;

    /** The backend servers that stated a limit, including those whose limit has ended. */
    private final Set<ServerState> limitedServers = new LinkedHashSet<>();

    /** Creates a registry without limits. */
    RequestLimitRegistry(ServiceRegistry services, RandomGenerator random) {
        this.services = services;
        this.random = random;
    }

    /**
     * Records the limit that a backend server stated, and audits a change.
     *
     * @param limit the limit, {@code null} if the statement could not be read, which changes nothing
     * @param statedAt the time of the statement, earlier than the current time if another host received it
     * @param source where this host learnt of it, for the audit record
     */
    public void record(
            ServerState server, RequestLimit limit, long statedAt, String source, long now, DecisionSink sink) {
        RequestLimit previous = limit == null ? null : server.allowance().recordStatement(limit, statedAt, now);
        if (previous == null) {
            return;
        }
        limitedServers.add(server);
        sink.decide(new Decision.Audit(new Decision.Change(
                Decision.Subject.SERVER_LIMITED,
                server.identity(),
                previous.text(),
                limit.text(),
                source,
                services.configuration().revision())));
    }

    /**
     * Applies what another gateway knows of a limit. Ignored if this host does not know that process of the backend
     * server.
     *
     * @param gateway the name of the other gateway
     * @param incarnation the incarnation of the other gateway
     */
    public void apply(LimitReport report, String gateway, long incarnation, long now, DecisionSink sink) {
        ServerState server = services.server(report.server());
        if (server == null || server.incarnation() != report.incarnation()) {
            return;
        }
        record(server, report.limit(), report.statedAt(), gateway, now, sink);
        server.allowance().recordDispatchedByOther(gateway, incarnation, report.dispatched(), now, random.nextDouble());
    }

    /** Returns the backend servers with a limit, and those whose limit ended a short time ago. */
    public Set<ServerState> limitedServers(long now) {
        limitedServers.removeIf(server -> services.server(server.identity()) != server
                || !server.allowance().reportable(now));
        return limitedServers;
    }
}
