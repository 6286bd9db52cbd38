package org.chivecourse.coordination.call;

import java.util.List;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.ownership.KeyOwnership;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.key.KeyState;

/** The calls that are not idempotent and have a key, which start only once this host holds the key. */
public final class KeyedCalls {

    /** The calls and attempts. */
    private final OpenCalls openCalls;

    /** Gives calls their final answers. */
    private final FinalAnswers finalAnswers;

    /** The rule that the request of a key runs at most once over all hosts. */
    private final KeyOwnership ownership;

    /** Starts a call whose key this host holds. */
    private final CallStarter starter;

    /**
     * Creates keyed calls.
     *
     * @param openCalls the calls and attempts
     * @param finalAnswers gives calls their final answers
     * @param ownership the rule that the request of a key runs at most once over all hosts
     * @param starter starts a call whose key this host holds
     */
    KeyedCalls(OpenCalls openCalls, FinalAnswers finalAnswers, KeyOwnership ownership, CallStarter starter) {
        this.openCalls = openCalls;
        this.finalAnswers = finalAnswers;
        this.ownership = ownership;
        this.starter = starter;
    }

    /**
     * Looks up the key of a call that arrived.
     *
     * @param call the call
     * @param ageNanoseconds the age of the key, negative if it is not known
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    void requestKey(CallState call, long ageNanoseconds, long now, DecisionSink sink) {
        call.enterPhase(CallPhase.ASKING);
        String key = call.terms().key();
        applyAdmission(call, ownership.admit(call.identifier(), key, ageNanoseconds, now, sink), now, sink);
    }

    /**
     * Leads on a call whose key was looked up.
     *
     * @param call the call
     * @param admission what becomes of it
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void applyAdmission(CallState call, KeyOwnership.Admission admission, long now, DecisionSink sink) {
        switch (admission) {
            case QUERY -> call.enterPhase(CallPhase.ASKING);
            case RUN -> starter.start(call, now, sink);
            case DUPLICATE_ANSWERED -> finalAnswers.abandon(call, Reason.ANSWERED_BEFORE, now, sink);
            case DUPLICATE_HELD -> finalAnswers.abandon(call, Reason.COPY_HELD, now, sink);
            case TOO_OLD -> finalAnswers.abandon(call, Reason.KEY_TOO_OLD, now, sink);
            case TABLE_FULL -> finalAnswers.abandon(call, Reason.QUEUE_FULL, now, sink);
            default -> finalAnswers.abandon(call, Reason.COPY_NOT_KNOWN, now, sink);
        }
    }

    /**
     * Leads on calls whose questions for keys have ended.
     *
     * @param settled the calls and what becomes of them
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void applyAdmissions(List<KeyOwnership.Resolution> settled, long now, DecisionSink sink) {
        for (KeyOwnership.Resolution each : settled) {
            CallState call = openCalls.call(each.call());
            if (call != null && call.phase() == CallPhase.ASKING) {
                applyAdmission(call, each.admission(), now, sink);
            }
        }
    }

    /**
     * Ends the questions that have waited long enough.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    void advanceTime(long now, DecisionSink sink) {
        applyAdmissions(ownership.retryAndExpireRounds(now, sink), now, sink);
    }

    /**
     * Replies to another host that asks for a key.
     *
     * @param event the question
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void handleKeyQuestion(Event.KeyAsked event, long now, DecisionSink sink) {
        long yieldingCall = ownership.answerQuery(event.question(), event.address(), now, sink);
        if (yieldingCall != 0) {
            applyAdmissions(
                    List.of(new KeyOwnership.Resolution(yieldingCall, KeyOwnership.Admission.DUPLICATE_HELD)),
                    now,
                    sink);
        }
    }

    /**
     * Takes the reply of another host that was asked for a key.
     *
     * @param event the reply
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void handleKeyReply(Event.KeyReplied event, long now, DecisionSink sink) {
        KeyOwnership.Resolution settled = ownership.applyReply(event.reply(), now);
        if (settled != null) {
            applyAdmissions(List.of(settled), now, sink);
        }
    }

    /**
     * Remembers that a call got its whole answer.
     *
     * @param call the call
     * @param now the time in nanoseconds
     */
    void recordAnswer(CallState call, long now) {
        ownership.recordCallEnd(call.identifier(), call.terms().key(), KeyState.ANSWERED, now);
    }

    /** Starts a call whose key this host holds. */
    @FunctionalInterface
    interface CallStarter {

        /**
         * Starts a call.
         *
         * @param call the call
         * @param now the time in nanoseconds
         * @param sink receives the decisions that follow
         */
        void start(CallState call, long now, DecisionSink sink);
    }
}
