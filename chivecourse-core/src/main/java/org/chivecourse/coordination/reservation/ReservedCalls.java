package org.chivecourse.coordination.reservation;

import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.server.ServerState;

/** Continues the calls for which slots were requested. */
public interface ReservedCalls {

    /**
     * Starts an attempt of a call at the backend server of a granted slot.
     *
     * @return the attempt, {@code null} if that backend server may not take the call
     */
    AttemptState launch(CallState call, ServerState server, long now, DecisionSink sink);

    /**
     * Starts a second attempt of a call at the backend server of a granted slot.
     *
     * @return the attempt, {@code null} if the call needs none any more or that backend server would not help
     */
    AttemptState launchHedge(CallState call, ServerState server, long now, DecisionSink sink);

    /**
     * Starts an attempt of a call at a backend server of this data centre that limits what each gateway may send, if
     * this one may.
     *
     * @return {@code false} if there is none
     */
    boolean launchLimited(CallState call, long now, DecisionSink sink);

    /** Returns whether a call that waits for room in its data centre may be sent to another one. */
    boolean mayLeave(CallState call, long now);

    /** Continues a call that got no reply about a slot in time, or for which no gateway allocates slots. */
    void continueWithoutReservation(CallState call, long now, DecisionSink sink);

    /** Refuses a call for which no slot can be expected in time. */
    void refuse(CallState call, Reason reason, long now, DecisionSink sink);
}
