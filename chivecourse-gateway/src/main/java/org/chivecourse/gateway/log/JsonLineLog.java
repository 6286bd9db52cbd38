package org.chivecourse.gateway.log;

import java.time.Clock;
import org.chivecourse.configuration.document.ConstantNames;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.gateway.audit.AuditRecord;
import org.chivecourse.state.reservation.SlotWay;

/** Writes each decision about a request and each change as a JSON line. */
public final class JsonLineLog implements GatewayLog {

    /** The name of the host, which each line of this log contains. */
    private final String host;

    /** Supplies the timestamps of lines. */
    private final Clock clock;

    /** Writes the lines asynchronously. */
    private final LineQueue lines;

    /**
     * Creates a log.
     *
     * @param host the name of the host
     * @param clock supplies the timestamps of lines
     * @param lines writes the lines
     */
    public JsonLineLog(String host, Clock clock, LineQueue lines) {
        this.host = host;
        this.clock = clock;
        this.lines = lines;
    }

    /**
     * Starts a line with the time, the host and the kind of event.
     *
     * @param event the kind of event
     * @return the line
     */
    private JsonLine startLine(String event) {
        return new JsonLine().add("time", clock.millis()).add("host", host).add("event", event);
    }

    @Override
    public void recordChange(AuditRecord change) {
        lines.add(startLine("change")
                .add("subject", change.subject())
                .add("name", change.name())
                .add("from", change.from())
                .add("to", change.to())
                .add("cause", change.cause())
                .add("revision", change.revision())
                .toString());
    }

    @Override
    public void logSent(String requestIdentifier, long fingerprint, Decision.Send send) {
        Decision.Basis basis = send.basis();
        lines.add(startLine("sent")
                .add("request", requestIdentifier)
                .add("call", send.call())
                .add("attempt", send.number())
                .add("fingerprint", Long.toHexString(fingerprint))
                .add("purpose", basis.purpose())
                .add("server", send.address())
                .add("incarnation", basis.incarnation())
                .add("candidates", basis.candidates())
                .add("in-flight", basis.inFlight())
                .add("slowness-percent", basis.slownessPercent())
                .add("report-age-milliseconds", basis.reportAgeMilliseconds())
                .add("slot", ConstantNames.of(basis.slotWay() == null ? SlotWay.NONE : basis.slotWay()))
                .toString());
    }

    @Override
    public void logAttemptFailure(String requestIdentifier, Decision.Send send, boolean dispatched, String reason) {
        lines.add(startLine("attempt-failed")
                .add("request", requestIdentifier)
                .add("call", send.call())
                .add("attempt", send.number())
                .add("server", send.address())
                .add("handed-over", dispatched)
                .add("reason", reason)
                .toString());
    }

    @Override
    public void logDelivery(String requestIdentifier, Decision.Send send, int status, long elapsedMilliseconds) {
        lines.add(startLine("delivered")
                .add("request", requestIdentifier)
                .add("call", send.call())
                .add("attempt", send.number())
                .add("server", send.address())
                .add("status", status)
                .add("milliseconds", elapsedMilliseconds)
                .toString());
    }

    @Override
    public void logRefusal(String requestIdentifier, long call, Decision.Refusal refusal, long elapsedMilliseconds) {
        lines.add(startLine("refused")
                .add("request", requestIdentifier)
                .add("call", call)
                .add("status", refusal.reason().status())
                .add("outcome", refusal.outcome().toString())
                .add("reason", refusal.reason().toString())
                .add("retry-after-milliseconds", refusal.retryAfterMilliseconds())
                .add("milliseconds", elapsedMilliseconds)
                .add("basis", refusal.explanation())
                .toString());
    }

    @Override
    public void logAbandonment(String requestIdentifier, long call, long elapsedMilliseconds) {
        lines.add(startLine("abandoned")
                .add("request", requestIdentifier)
                .add("call", call)
                .add("milliseconds", elapsedMilliseconds)
                .toString());
    }

    @Override
    public void logClosedConnection(String listener, int maximum) {
        lines.add(startLine("connection-closed")
                .add("listener", listener)
                .add("largest", maximum)
                .toString());
    }
}
