package org.chivecourse.coordination.call;

import java.util.List;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.ownership.KeyOwnership;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.key.KeyState;

/** The calls that are not idempotent and have a key. Such a call starts only once this host owns its key. */
public final class KeyedCalls {

    /** The calls without a final answer and their attempts. */
    private final OpenCalls openCalls;

    /** Ends calls with the gateway's own answers. */
    private final FinalAnswers finalAnswers;

    /** Ensures that the request of a key runs at most once over all hosts. */
    private final KeyOwnership ownership;

    /** Starts a call whose key this host owns. */
    private final CallStarter starter;

    /** Creates keyed calls. */
    KeyedCalls(OpenCalls openCalls, FinalAnswers finalAnswers, KeyOwnership ownership, CallStarter starter) {
        this.openCalls = openCalls;
        this.finalAnswers = finalAnswers;
        this.ownership = ownership;
        this.starter = starter;
    }

    /**
     * Requests the key of a call that arrived, and starts or abandons the call if the result is known at once.
     *
     * @param ageNanoseconds the age of the key in nanoseconds, negative if it is unknown
     */
    void requestKey(CallState call, long ageNanoseconds, long now, DecisionSink sink) {
        call.enterPhase(CallPhase.ASKING);
        String key = call.terms().key();
        applyAdmission(call, ownership.admit(call.identifier(), key, ageNanoseconds, now, sink), now, sink);
    }

    /** Starts, abandons or keeps waiting a call, as its admission requires. */
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

    /** Applies admissions to the calls that still wait for their keys. */
    private void applyAdmissions(List<KeyOwnership.Resolution> resolutions, long now, DecisionSink sink) {
        for (KeyOwnership.Resolution resolution : resolutions) {
            CallState call = openCalls.call(resolution.call());
            if (call != null && call.phase() == CallPhase.ASKING) {
                applyAdmission(call, resolution.admission(), now, sink);
            }
        }
    }

    /** Ends the key questions whose wait for replies has timed out. */
    void advanceTime(long now, DecisionSink sink) {
        applyAdmissions(ownership.retryAndExpireRounds(now, sink), now, sink);
    }

    /** Replies to another host that asks for a key, and abandons a call of this host that yields the key to it. */
    public void handleKeyQuestion(Event.KeyAsked event, long now, DecisionSink sink) {
        long yieldingCall = ownership.answerQuery(event.question(), event.address(), now, sink);
        if (yieldingCall != 0) {
            applyAdmissions(
                    List.of(new KeyOwnership.Resolution(yieldingCall, KeyOwnership.Admission.DUPLICATE_HELD)),
                    now,
                    sink);
        }
    }

    /** Handles the reply of another host that was asked for a key. */
    public void handleKeyReply(Event.KeyReplied event, long now, DecisionSink sink) {
        KeyOwnership.Resolution resolution = ownership.applyReply(event.reply(), now);
        if (resolution != null) {
            applyAdmissions(List.of(resolution), now, sink);
        }
    }

    /** Records that a call received its complete answer. */
    void recordAnswer(CallState call, long now) {
        ownership.recordCallEnd(call.identifier(), call.terms().key(), KeyState.ANSWERED, now);
    }

    /** Starts a call whose key this host owns. */
    @FunctionalInterface
    interface CallStarter {

        /** Starts a call. */
        void start(CallState call, long now, DecisionSink sink);
    }
}
