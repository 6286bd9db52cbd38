package org.chivecourse.transport.http;

import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.transport.connection.ClosedConnectionLog;

/** Logs decisions that concern single calls and connections. The methods must not block. */
public interface CallLog extends ClosedConnectionLog {

    /**
     * Logs that an attempt starts.
     *
     * @param requestIdentifier the identifier that the caller gave the request, empty if it gave none
     * @param fingerprint the fingerprint of the request, which duplicates share
     * @param send the decision that starts the attempt
     */
    void logSent(String requestIdentifier, long fingerprint, Decision.Send send);

    /**
     * Logs that an attempt ended without an answer that can be forwarded.
     *
     * @param requestIdentifier the identifier that the caller gave the request, empty if it gave none
     * @param send the decision that started the attempt
     * @param dispatched whether the request may have been written to a connection
     * @param reason a description of the failure
     */
    void logAttemptFailure(String requestIdentifier, Decision.Send send, boolean dispatched, String reason);

    /**
     * Logs that a backend server's answer is forwarded.
     *
     * @param requestIdentifier the identifier that the caller gave the request, empty if it gave none
     * @param send the decision that started the attempt
     * @param status the status code of the answer
     * @param elapsedMilliseconds the time since the request arrived
     */
    void logDelivery(String requestIdentifier, Decision.Send send, int status, long elapsedMilliseconds);

    /**
     * Logs that a call is answered with an error that the gateway generates.
     *
     * @param requestIdentifier the identifier that the caller gave the request, empty if it gave none
     * @param call the identifier of the call, unique on this host
     * @param refusal the answer
     * @param elapsedMilliseconds the time since the request arrived
     */
    void logRefusal(String requestIdentifier, long call, Decision.Refusal refusal, long elapsedMilliseconds);

    /**
     * Logs that a caller disconnected before its answer was complete.
     *
     * @param requestIdentifier the identifier that the caller gave the request, empty if it gave none
     * @param call the identifier of the call, unique on this host
     * @param elapsedMilliseconds the time since the request arrived
     */
    void logAbandonment(String requestIdentifier, long call, long elapsedMilliseconds);

    /** Logs nothing. */
    enum Disabled implements CallLog {
        /** The only instance. */
        INSTANCE;

        @Override
        public void logSent(String requestIdentifier, long fingerprint, Decision.Send send) {
            // Logging is disabled.
        }

        @Override
        public void logAttemptFailure(String requestIdentifier, Decision.Send send, boolean dispatched, String reason) {
            // Logging is disabled.
        }

        @Override
        public void logDelivery(String requestIdentifier, Decision.Send send, int status, long elapsedMilliseconds) {
            // Logging is disabled.
        }

        @Override
        public void logRefusal(
                String requestIdentifier, long call, Decision.Refusal refusal, long elapsedMilliseconds) {
            // Logging is disabled.
        }

        @Override
        public void logAbandonment(String requestIdentifier, long call, long elapsedMilliseconds) {
            // Logging is disabled.
        }

        @Override
        public void logClosedConnection(String listener, int maximum) {
            // Logging is disabled.
        }
    }
}
