package org.chivecourse.coordination.ejection;

import java.util.List;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.state.server.ServerState;

/** Excludes a failing backend server for a time, and never more than a share of a service's backend servers. */
public enum Ejection {
    /** The only instance. */
    INSTANCE;

    /** The number of failures in a row after which a backend server is ejected. */
    public static final int CONSECUTIVE_FAILURES = 5;

    /** The time for which a backend server is ejected at first, in nanoseconds. */
    public static final long FIRST_EJECTION_NANOSECONDS = 1_000_000_000L;

    /** The largest number of doublings of that time. */
    private static final int MAXIMUM_DOUBLINGS = 5;

    /** One in so many backend servers of a service may be ejected. */
    private static final int EJECTED_SERVERS_DIVISOR = 3;

    /**
     * Records a failure and ejects the backend server if it was one too many.
     *
     * @param server the backend server
     * @param all the backend servers of the service
     * @param reason what happened
     * @param now the time in nanoseconds
     * @param revision the revision in force
     * @param sink receives the change
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
