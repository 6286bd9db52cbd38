package org.chivecourse.coordination.ejection;

import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.state.server.ServerState;

/** Excludes a backend server for a time after several failures in a row. */
public enum Ejection {
    /** The only instance. */
    INSTANCE;

    /** The number of failures in a row after which a backend server is ejected. */
    public static final int FAILURES = 5;

    /** The time for which a backend server is ejected, in nanoseconds. */
    public static final long NANOSECONDS = 2_000_000_000L;

    /**
     * Records a failure and ejects the backend server if it was one too many.
     *
     * @param server the backend server
     * @param reason what happened
     * @param now the time in nanoseconds
     * @param revision the revision in force
     * @param sink receives the change
     */
    public void failed(ServerState server, String reason, long now, long revision, DecisionSink sink) {
        if (server.fail() < FAILURES || server.ejected(now)) {
            return;
        }
        server.eject(now + NANOSECONDS);
        sink.decide(new Decision.Audit(new Decision.Change(
                Decision.Subject.SERVER_EJECTED, server.address(), "in use", "ejected", reason, revision)));
    }
}
