package org.chivecourse.state.call;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.chivecourse.state.server.ServerState;

/** A call that a host has accepted. */
public final class CallState {

    /** The order of calls by rank, then by the end of their target latency, and by arrival among equals. */
    public static final Comparator<CallState> BY_RANK_THEN_TARGET = Comparator.<CallState>comparingInt(
                    call -> call.terms.rank())
            .thenComparingLong(call -> call.terms.arrivedAt() + call.terms.targetLatencyNanoseconds())
            .thenComparingLong(call -> call.identifier);

    /** The order of calls by rank, then by deadline, and by arrival among equals. */
    public static final Comparator<CallState> BY_RANK_THEN_DEADLINE = Comparator.<CallState>comparingInt(
                    call -> call.terms.rank())
            .thenComparingLong(call -> call.terms.deadline())
            .thenComparingLong(call -> call.identifier);

    /** The order of calls by deadline, and by arrival among equals. */
    public static final Comparator<CallState> BY_DEADLINE = Comparator.<CallState>comparingLong(
                    call -> call.terms.deadline())
            .thenComparingLong(call -> call.identifier);

    /** The identifier of the call, unique on the host. */
    private final long identifier;

    /** What does not change of the call. */
    private final CallTerms terms;

    /** The attempts in the order of their start. */
    private final List<AttemptState> attempts = new ArrayList<>(1);

    /** The phase that the call is in. */
    private CallPhase phase = CallPhase.WAITING;

    /**
     * Creates a call that waits for a backend server.
     *
     * @param identifier the identifier of the call
     * @param terms what does not change of the call
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
     * Moves the call to a phase.
     *
     * @param nextPhase the phase
     */
    public void enterPhase(CallPhase nextPhase) {
        phase = nextPhase;
    }

    /**
     * Returns whether every attempt so far is proved to have had no effect.
     *
     * @return {@code true} if nothing that could act on the request has received it
     */
    public boolean provablyNotRun() {
        for (AttemptState attempt : attempts) {
            if (!attempt.evidence().provesNotRun()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the number of attempts that may have reached a backend server.
     *
     * @return the number of attempts
     */
    public int attemptsSent() {
        int count = 0;
        for (AttemptState attempt : attempts) {
            if (attempt.evidence() != Evidence.NOT_SENT) {
                count++;
            }
        }
        return count;
    }

    /**
     * Returns the number of attempts that have not ended.
     *
     * @return the number of attempts
     */
    public int attemptsOpen() {
        int count = 0;
        for (AttemptState attempt : attempts) {
            if (!attempt.ended()) {
                count++;
            }
        }
        return count;
    }

    /**
     * Returns whether the call was tried on a backend server.
     *
     * @param server the backend server
     * @return {@code true} if an attempt went there
     */
    public boolean tried(ServerState server) {
        for (AttemptState attempt : attempts) {
            if (attempt.server() == server) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the identifier.
     *
     * @return the identifier, unique on the host
     */
    public long identifier() {
        return identifier;
    }

    /**
     * Returns what does not change of the call.
     *
     * @return the terms
     */
    public CallTerms terms() {
        return terms;
    }

    /**
     * Returns the attempts in the order of their start.
     *
     * @return the attempts
     */
    public List<AttemptState> attempts() {
        return attempts;
    }

    /**
     * Returns the phase that the call is in.
     *
     * @return the phase
     */
    public CallPhase phase() {
        return phase;
    }
}
