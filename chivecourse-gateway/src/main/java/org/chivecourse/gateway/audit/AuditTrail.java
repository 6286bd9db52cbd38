package org.chivecourse.gateway.audit;

import java.time.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.chivecourse.configuration.document.ConstantNames;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.gateway.log.GatewayLog;

/** Writes each change to the log and keeps the latest in memory. */
public final class AuditTrail {

    /** The number of changes kept in memory. */
    private static final int MAXIMUM_CHANGES = 500;

    /** The actor of changes that the gateway decides. */
    private static final String GATEWAY = "gateway";

    /** The name of the host. */
    private final String host;

    /** Tells the time. */
    private final Clock clock;

    /** Receives changes. */
    private final GatewayLog log;

    /** The latest changes, the newest last. */
    private final Deque<AuditRecord> latest = new ArrayDeque<>();

    /**
     * Creates an empty trail.
     *
     * @param host the name of the host
     * @param clock tells the time
     * @param log receives changes
     */
    public AuditTrail(String host, Clock clock, GatewayLog log) {
        this.log = log;
        this.host = host;
        this.clock = clock;
    }

    /**
     * Records a change that the decision core made.
     *
     * @param change the change
     */
    public void record(Decision.Change change) {
        record(new AuditRecord(
                clock.instant(),
                host,
                GATEWAY,
                ConstantNames.of(change.subject()),
                change.name(),
                change.from(),
                change.to(),
                change.cause(),
                change.revision()));
    }

    /**
     * Records a step of the gateway's own life.
     *
     * @param event the step
     * @param cause why it happened
     */
    public void recordLifecycleEvent(String event, String cause) {
        record(new AuditRecord(clock.instant(), host, GATEWAY, "gateway", host, "", event, cause, 0));
    }

    /**
     * Records a change.
     *
     * @param change the change
     */
    private synchronized void record(AuditRecord change) {
        if (latest.size() == MAXIMUM_CHANGES) {
            latest.removeFirst();
        }
        latest.addLast(change);
        log.recordChange(change);
    }

    /**
     * Returns the latest changes.
     *
     * @return the changes, the newest last
     */
    public synchronized List<AuditRecord> latest() {
        return List.copyOf(latest);
    }
}
