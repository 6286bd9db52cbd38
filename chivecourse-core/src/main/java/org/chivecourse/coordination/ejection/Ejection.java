package org.chivecourse.coordination.ejection;

import java.util.List;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.state.server.ServerState;

/** Excludes a failing backend server for a time, but never more than a share of a service's backend servers at once. */
public enum Ejection {
    /** The only instance. */
    INSTANCE;

    /** The number of consecutive failures after which a backend server is ejected. */
    public static final int CONSECUTIVE_FAILURES = 5;

    /** The duration of the first ejection. It doubles with each further one. */
    public static final long FIRST_EJECTION_NANOSECONDS = 1_000_000_000L;

    /** The maximum number of doublings of the duration. */
    private static final int MAXIMUM_DOUBLINGS = 5;

    /** The divisor of the number of a service's backend servers that yields how many may be ejected at once. */
    private static final int EJECTED_SERVERS_DIVISOR = 3;

    /**
     * Records a failure and ejects the backend server if it has reached the threshold. Nothing is ejected while the
     * maximum number of the service's backend servers is ejected.
     *
     * @param all the backend servers of the service
     * @param reason the cause that is audited
     * @param revision the configuration revision in force
     */
    public void recordFailure(
            ServerState server, List<ServerState> all, String reason, long now, long revision, DecisionSink sink) {
        if (server.recordFailure() < CONSECUTIVE_FAILURES || server.ejected(now)) {
            return;
        }
        long ejected = all.stream().filter(other -> other.ejected(now)).count();
        if (ejected >= all.size() / EJECTED_SERVERS_DIVISOR) {
            return;
        }
        server.eject(now + (FIRST_EJECTION_NANOSECONDS << Math.min(server.ejections(), MAXIMUM_DOUBLINGS)));
        sink.decide(new Decision.Audit(new Decision.Change(
                Decision.Subject.SERVER_EJECTED, server.address(), "in use", "ejected", reason, revision)));
    }
}
