package org.chivecourse.gateway.log;

import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.gateway.audit.AuditRecord;
import org.chivecourse.transport.http.CallLog;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/** Receives the decisions about requests and the changes of the gateway's state, to log them. */
public interface GatewayLog extends CallLog {

    /**
     * Records a change of the gateway's state, or an event of its lifecycle.
     *
     * @param change the change
     */
    void recordChange(AuditRecord change);

    /** Writes changes to the logging library and discards entries about requests. */
    enum ForLogger implements GatewayLog {
        /** The only instance. */
        INSTANCE;

        /** The logger of changes. Its name is fixed, so that renaming a class does not change it. */
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
        public void logSent(String requestIdentifier, long fingerprint, Decision.Send send) {
            CallLog.Disabled.INSTANCE.logSent(requestIdentifier, fingerprint, send);
        }

        @Override
        public void logAttemptFailure(String requestIdentifier, Decision.Send send, boolean dispatched, String reason) {
            CallLog.Disabled.INSTANCE.logAttemptFailure(requestIdentifier, send, dispatched, reason);
        }

        @Override
        public void logDelivery(String requestIdentifier, Decision.Send send, int status, long elapsedMilliseconds) {
            CallLog.Disabled.INSTANCE.logDelivery(requestIdentifier, send, status, elapsedMilliseconds);
        }

        @Override
        public void logRefusal(
                String requestIdentifier, long call, Decision.Refusal refusal, long elapsedMilliseconds) {
            CallLog.Disabled.INSTANCE.logRefusal(requestIdentifier, call, refusal, elapsedMilliseconds);
        }

        @Override
        public void logAbandonment(String requestIdentifier, long call, long elapsedMilliseconds) {
            CallLog.Disabled.INSTANCE.logAbandonment(requestIdentifier, call, elapsedMilliseconds);
        }

        @Override
        public void logClosedConnection(String listener, int maximum) {
            CallLog.Disabled.INSTANCE.logClosedConnection(listener, maximum);
        }
    }
}
