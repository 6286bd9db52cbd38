package org.chivecourse.gateway.audit;

import java.time.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.chivecourse.configuration.document.ConstantNames;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.gateway.log.GatewayLog;

/** Logs each change and keeps the latest changes in memory for operators. */
public final class AuditTrail {

    /** The number of changes kept in memory. */
    private static final int MAXIMUM_CHANGES = 500;

    /** The maximum length of each text of a change that the decision core made, in characters. */
    private static final int MAXIMUM_TEXT_CHARACTERS = 500;

    /** The actor of all changes recorded here. */
    private static final String GATEWAY = "gateway";

    /** The name of the host. */
    private final String host;

    /** Supplies the timestamps of records. */
    private final Clock clock;

    /** Receives each change. */
    private final GatewayLog log;

    /** The latest changes, the newest last. Guarded by this instance's monitor. */
    private final Deque<AuditRecord> latest = new ArrayDeque<>();

    /**
     * Creates an empty trail.
     *
     * @param host the name of the host
     * @param clock supplies the timestamps of records
     * @param log receives each change
     */
    public AuditTrail(String host, Clock clock, GatewayLog log) {
        this.log = log;
        this.host = host;
        this.clock = clock;
    }

    /**
     * Records a change that the decision core made. Of a long text only the beginning is kept, since it may hold what
     * others wrote.
     *
     * @param change the change
     */
    public void record(Decision.Change change) {
        record(new AuditRecord(
                clock.instant(),
                host,
                GATEWAY,
                ConstantNames.of(change.subject()),
                shorten(change.name()),
                shorten(change.from()),
                shorten(change.to()),
                shorten(change.cause()),
                change.revision()));
    }

    /** Returns the beginning of a text, or the whole text if it is short. */
    private static String shorten(String text) {
        return text.length() > MAXIMUM_TEXT_CHARACTERS ? text.substring(0, MAXIMUM_TEXT_CHARACTERS) + "..." : text;
    }

    /**
     * Records an event of the gateway's own lifecycle.
     *
     * @param event the event, such as {@code started}
     * @param cause what caused the event
     */
    public void recordLifecycleEvent(String event, String cause) {
        record(new AuditRecord(clock.instant(), host, GATEWAY, "gateway", host, "", event, cause, 0));
    }

    /**
     * Keeps a change, dropping the oldest if the trail is full, and logs it.
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

    /** Returns the latest changes, the newest last. */
    public synchronized List<AuditRecord> latest() {
        return List.copyOf(latest);
    }
}
