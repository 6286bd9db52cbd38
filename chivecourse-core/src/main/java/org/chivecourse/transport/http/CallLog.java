package org.chivecourse.transport.http;

import org.chivecourse.coordination.decision.Decision;

/** Receives the decisions that touch single requests, for logs; never blocks. */
public interface CallLog {

    /**
     * A request is sent to a backend server.
     *
     * @param request the identifier that the caller gave it, empty if it gave none
     * @param send the decision
     */
    void sent(String request, Decision.Send send);

    /**
     * An attempt ended without an answer that could be passed on.
     *
     * @param request the identifier that the caller gave the request, empty if it gave none
     * @param send the decision that started the attempt
     * @param handed whether bytes were handed to a connection
     * @param reason what happened
     */
    void attemptFailed(String request, Decision.Send send, boolean handed, String reason);

    /**
     * A backend server's answer is passed on.
     *
     * @param request the identifier that the caller gave the request, empty if it gave none
     * @param send the decision that started the attempt
     * @param status the status code
     * @param milliseconds the time since the request arrived
     */
    void delivered(String request, Decision.Send send, int status, long milliseconds);

    /**
     * A request is answered in the gateway's own name.
     *
     * @param request the identifier that the caller gave it, empty if it gave none
     * @param call the number of the call on this host
     * @param refusal the answer
     * @param milliseconds the time since the request arrived
     */
    void refused(String request, long call, Decision.Refusal refusal, long milliseconds);

    /**
     * A caller left before its answer was whole.
     *
     * @param request the identifier that the caller gave the request, empty if it gave none
     * @param call the number of the call on this host
     * @param milliseconds the time since the request arrived
     */
    void abandoned(String request, long call, long milliseconds);

    /** Receives nothing. */
    enum Disabled implements CallLog {
        /** The only instance. */
        INSTANCE;

        @Override
        public void sent(String request, Decision.Send send) {
            // Nothing is logged.
        }

        @Override
        public void attemptFailed(String request, Decision.Send send, boolean handed, String reason) {
            // Nothing is logged.
        }

        @Override
        public void delivered(String request, Decision.Send send, int status, long milliseconds) {
            // Nothing is logged.
        }

        @Override
        public void refused(String request, long call, Decision.Refusal refusal, long milliseconds) {
            // Nothing is logged.
        }

        @Override
        public void abandoned(String request, long call, long milliseconds) {
            // Nothing is logged.
        }
    }
}
