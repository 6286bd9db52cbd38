package org.chivecourse.gateway.log;

import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.gateway.audit.AuditRecord;
import org.chivecourse.transport.http.CallLog;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/** Receives a log entry for each decision about a request and for each change of what the gateway knows. */
public interface GatewayLog extends CallLog {

    /**
     * Records a change of what the gateway knows, or an event of its lifecycle.
     *
     * @param change the change
     */
    void recordChange(AuditRecord change);

    /** Writes changes to the logging library and does not log single requests. */
    enum ForLogger implements GatewayLog {
        /** The only instance. */
        INSTANCE;

        /** The logger of changes, whose name does not depend on a class. */
        private static final Logger LOGGER = Logger.getLogger("org.chivecourse.audit");

        @Override
        public void recordChange(AuditRecord change) {
            MDC.put("host", change.host());
            MDC.put("actor", change.actor());
            MDC.put("subject", change.subject());
            MDC.put("name", change.name());
            MDC.put("from", change.from());
            MDC.put("to", change.to());
            MDC.put("cause", change.cause());
            MDC.put("revision", Long.toString(change.revision()));
            LOGGER.infof("%s %s: %s", change.subject(), change.name(), change.to());
            MDC.clear();
        }

        @Override
        public void logSent(String request, Decision.Send send) {
            CallLog.Disabled.INSTANCE.logSent(request, send);
        }

        @Override
        public void logAttemptFailure(String request, Decision.Send send, boolean dispatched, String reason) {
            CallLog.Disabled.INSTANCE.logAttemptFailure(request, send, dispatched, reason);
        }

        @Override
        public void logDelivery(String request, Decision.Send send, int status, long milliseconds) {
            CallLog.Disabled.INSTANCE.logDelivery(request, send, status, milliseconds);
        }

        @Override
        public void logRefusal(String request, long call, Decision.Refusal refusal, long milliseconds) {
            CallLog.Disabled.INSTANCE.logRefusal(request, call, refusal, milliseconds);
        }

        @Override
        public void logAbandonment(String request, long call, long milliseconds) {
            CallLog.Disabled.INSTANCE.logAbandonment(request, call, milliseconds);
        }
    }
}
