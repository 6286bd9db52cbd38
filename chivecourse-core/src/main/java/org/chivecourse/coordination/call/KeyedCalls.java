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
    private final CallLedger ledger;

    /** Gives calls their final answers. */
    private final FinalAnswers answers;

    /** The rule that the request of a key runs at most once over all hosts. */
    private final KeyOwnership ownership;

    /** Starts a call whose key this host holds. */
    private final Starter starter;

    /**
     * Creates keyed calls.
     *
     * @param ledger the calls and attempts
     * @param answers gives calls their final answers
     * @param ownership the rule that the request of a key runs at most once over all hosts
     * @param starter starts a call whose key this host holds
     */
    KeyedCalls(CallLedger ledger, FinalAnswers answers, KeyOwnership ownership, Starter starter) {
        this.ledger = ledger;
        this.answers = answers;
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
    void arrive(CallState call, long ageNanoseconds, long now, DecisionSink sink) {
        call.enterPhase(CallPhase.ASKING);
        String key = call.terms().key();
        settle(call, ownership.admit(call.identifier(), key, ageNanoseconds, now, sink), now, sink);
    }

    /**
     * Leads on a call whose key was looked up.
     *
     * @param call the call
     * @param admission what becomes of it
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void settle(CallState call, KeyOwnership.Admission admission, long now, DecisionSink sink) {
        switch (admission) {
            case QUERY -> call.enterPhase(CallPhase.ASKING);
            case RUN -> starter.start(call, now, sink);
            case DUPLICATE_ANSWERED -> answers.giveUp(call, Reason.ANSWERED_BEFORE, now, sink);
            case DUPLICATE_HELD -> answers.giveUp(call, Reason.COPY_HELD, now, sink);
            case TOO_OLD -> answers.giveUp(call, Reason.KEY_TOO_OLD, now, sink);
            case TABLE_FULL -> answers.giveUp(call, Reason.QUEUE_FULL, now, sink);
            default -> answers.giveUp(call, Reason.COPY_NOT_KNOWN, now, sink);
        }
    }

    /**
     * Leads on calls whose questions for keys have ended.
     *
     * @param settled the calls and what becomes of them
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void settle(List<KeyOwnership.Resolution> settled, long now, DecisionSink sink) {
        for (KeyOwnership.Resolution one : settled) {
            CallState call = ledger.call(one.call());
            if (call != null && call.phase() == CallPhase.ASKING) {
                settle(call, one.admission(), now, sink);
            }
        }
    }

    /**
     * Ends the questions that have waited long enough.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    void timePassed(long now, DecisionSink sink) {
        settle(ownership.retryAndExpireRounds(now, sink), now, sink);
    }

    /**
     * Replies to another host that asks for a key.
     *
     * @param event the question
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void asked(Event.KeyAsked event, long now, DecisionSink sink) {
        long givesWay = ownership.answerQuery(event.question(), event.address(), now, sink);
        if (givesWay != 0) {
            settle(List.of(new KeyOwnership.Resolution(givesWay, KeyOwnership.Admission.DUPLICATE_HELD)), now, sink);
        }
    }

    /**
     * Takes the reply of another host that was asked for a key.
     *
     * @param event the reply
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void replied(Event.KeyReplied event, long now, DecisionSink sink) {
        KeyOwnership.Resolution settled = ownership.applyReply(event.reply(), now);
        if (settled != null) {
            settle(List.of(settled), now, sink);
        }
    }

    /**
     * Remembers that a call got its whole answer.
     *
     * @param call the call
     * @param now the time in nanoseconds
     */
    void answered(CallState call, long now) {
        ownership.recordCallEnd(call.identifier(), call.terms().key(), KeyState.ANSWERED, now);
    }

    /** Starts a call whose key this host holds. */
    @FunctionalInterface
    interface Starter {

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
