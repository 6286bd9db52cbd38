package org.chivecourse.state.call;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.chivecourse.state.reservation.SlotWay;
import org.chivecourse.state.server.ServerState;

/** A call that a host has accepted. */
public final class CallState {

    /** Orders calls by rank, then by the end of their target latency, then by arrival. */
    public static final Comparator<CallState> BY_RANK_THEN_TARGET = Comparator.<CallState>comparingInt(
                    call -> call.terms.rank())
            .thenComparingLong(call -> call.terms.firstSentAt() + call.terms.targetLatencyNanoseconds())
            .thenComparingLong(call -> call.identifier);

    /** Orders calls by rank, then by deadline, then by arrival. */
    public static final Comparator<CallState> BY_RANK_THEN_DEADLINE = Comparator.<CallState>comparingInt(
                    call -> call.terms.rank())
            .thenComparingLong(call -> call.terms.deadline())
            .thenComparingLong(call -> call.identifier);

    /** Orders calls by deadline, then by arrival. */
    public static final Comparator<CallState> BY_DEADLINE = Comparator.<CallState>comparingLong(
                    call -> call.terms.deadline())
            .thenComparingLong(call -> call.identifier);

    /** The identifier of the call, unique on the host and ascending by arrival. */
    private final long identifier;

    /** The properties of the call that do not change. */
    private final CallTerms terms;

    /** The attempts in the order of their start. */
    private final List<AttemptState> attempts = new ArrayList<>(1);

    /** The current phase. */
    private CallPhase phase = CallPhase.WAITING;

    /** How the call came to its last backend server, or to its refusal, as far as slots go. */
    private SlotWay slotWay = SlotWay.NONE;

    /**
     * Creates a call that waits for a backend server.
     *
     * @param identifier the identifier of the call
     * @param terms the properties of the call that do not change
     */
    public CallState(long identifier, CallTerms terms) {
        this.identifier = identifier;
        this.terms = terms;
    }

    /**
     * Adds an attempt.
     *
     * @param attempt the attempt
     */
    public void addAttempt(AttemptState attempt) {
        attempts.add(attempt);
    }

    /**
     * Moves the call to another phase.
     *
     * @param nextPhase the phase
     */
    public void enterPhase(CallPhase nextPhase) {
        phase = nextPhase;
    }

    /** Records how the call comes to its next backend server, or to its refusal. */
    public void recordSlotWay(SlotWay way) {
        slotWay = way;
    }

    /** Returns how the call came to its last backend server, or to its refusal, as far as slots go. */
    public SlotWay slotWay() {
        return slotWay;
    }

    /**
     * Returns whether every attempt so far is proved to have had no effect.
     *
     * @return {@code true} if no backend server that could run the request has received it
     */
    public boolean provablyNotRun() {
        for (AttemptState attempt : attempts) {
            if (!attempt.evidence().provesNotRun()) {
                return false;
            }
        }
        return true;
    }

    /** Returns the number of attempts that may have reached a backend server. */
    public int sentAttemptCount() {
        int count = 0;
        for (AttemptState attempt : attempts) {
            if (attempt.evidence() != Evidence.NOT_SENT) {
                count++;
            }
        }
        return count;
    }

    /** Returns the number of attempts that have ended without having reached a backend server. */
    public int unsentAttemptCount() {
        int count = 0;
        for (AttemptState attempt : attempts) {
            if (attempt.ended() && attempt.evidence() == Evidence.NOT_SENT) {
                count++;
            }
        }
        return count;
    }

    /** Returns the number of attempts that have ended since their backend server could not be reached. */
    public int unreachableAttemptCount() {
        int count = 0;
        for (AttemptState attempt : attempts) {
            if (attempt.ended() && attempt.evidence() == Evidence.NOT_SENT && !attempt.withdrawn()) {
                count++;
            }
        }
        return count;
    }

    /** Returns the number of attempts that have not ended. */
    public int openAttemptCount() {
        int count = 0;
        for (AttemptState attempt : attempts) {
            if (!attempt.ended()) {
                count++;
            }
        }
        return count;
    }

    /**
     * Returns whether an attempt of the call was made at a backend server.
     *
     * @param server the backend server
     * @return {@code true} if there is an attempt at it, ended or not
     */
    public boolean hasTried(ServerState server) {
        for (AttemptState attempt : attempts) {
            if (attempt.server() == server) {
                return true;
            }
        }
        return false;
    }

    /** Returns the identifier, unique on the host. */
    public long identifier() {
        return identifier;
    }

    /** Returns the properties of the call that do not change. */
    public CallTerms terms() {
        return terms;
    }

    /** Returns the attempts in the order of their start. */
    public List<AttemptState> attempts() {
        return attempts;
    }

    /** Returns the current phase. */
    public CallPhase phase() {
        return phase;
    }
}
