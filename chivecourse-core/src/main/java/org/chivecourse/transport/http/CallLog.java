package org.chivecourse.transport.http;

import org.chivecourse.coordination.decision.Decision;

/** Receives the decisions that touch single requests, for logs; never blocks. */
public interface CallLog {

    /**
     * A request is sent to a backend server.
     *
     * @param requestIdentifier the identifier that the caller gave it, empty if it gave none
     * @param send the decision
     */
    void logSent(String requestIdentifier, Decision.Send send);

    /**
     * An attempt ended without an answer that could be passed on.
     *
     * @param requestIdentifier the identifier that the caller gave the request, empty if it gave none
     * @param send the decision that started the attempt
     * @param dispatched whether bytes were handed to a connection
     * @param reason what happened
     */
    void logAttemptFailure(String requestIdentifier, Decision.Send send, boolean dispatched, String reason);

    /**
     * A backend server's answer is passed on.
     *
     * @param requestIdentifier the identifier that the caller gave the request, empty if it gave none
     * @param send the decision that started the attempt
     * @param status the status code
     * @param elapsedMilliseconds the time since the request arrived
     */
    void logDelivery(String requestIdentifier, Decision.Send send, int status, long elapsedMilliseconds);

    /**
     * A request is answered in the gateway's own name.
     *
     * @param requestIdentifier the identifier that the caller gave it, empty if it gave none
     * @param call the number of the call on this host
     * @param refusal the answer
     * @param elapsedMilliseconds the time since the request arrived
     */
    void logRefusal(String requestIdentifier, long call, Decision.Refusal refusal, long elapsedMilliseconds);

    /**
     * A caller left before its answer was whole.
     *
     * @param requestIdentifier the identifier that the caller gave the request, empty if it gave none
     * @param call the number of the call on this host
     * @param elapsedMilliseconds the time since the request arrived
     */
    void logAbandonment(String requestIdentifier, long call, long elapsedMilliseconds);

    /** Receives nothing. */
    enum Disabled implements CallLog {
        /** The only instance. */
        INSTANCE;

        @Override
        public void logSent(String requestIdentifier, Decision.Send send) {
            // Nothing is logged.
        }

        @Override
        public void logAttemptFailure(String requestIdentifier, Decision.Send send, boolean dispatched, String reason) {
            // Nothing is logged.
        }

        @Override
        public void logDelivery(String requestIdentifier, Decision.Send send, int status, long elapsedMilliseconds) {
            // Nothing is logged.
        }

        @Override
        public void logRefusal(
                String requestIdentifier, long call, Decision.Refusal refusal, long elapsedMilliseconds) {
            // Nothing is logged.
        }

        @Override
        public void logAbandonment(String requestIdentifier, long call, long elapsedMilliseconds) {
            // Nothing is logged.
        }
    }
}
