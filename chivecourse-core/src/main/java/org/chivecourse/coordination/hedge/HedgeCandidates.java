package org.chivecourse.coordination.hedge;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.chivecourse.coordination.choice.TypicalWorkTimes;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallTerms;
import org.chivecourse.state.server.ServerState;

/**
 * The attempts whose calls may get a hedge at another backend server, and the rule for when it is due.
 *
 * <p>A hedge is due as soon as the backend server is known to be unreachable or much slower. Otherwise it is due at the
 * last moment at which another backend server of typical speed can still answer within the target latency.
 */
public final class HedgeCandidates {

    /** The slowness from which a backend server's attempts are hedged early. */
    private static final double SLOW_SERVER_FACTOR = 2;

    /** The age up to which a reported slowness is taken into account. */
    private static final long MAXIMUM_SLOWNESS_AGE_NANOSECONDS = 150_000_000L;

    /** The share of the typical time that an attempt must have been open before it is hedged for slowness. */
    private static final double EARLY_HEDGE_SHARE = 0.15;

    /** The time that is allowed for the hedge, as a multiple of the typical time. */
    private static final double HEDGE_TIME_FACTOR = 1.25;

    /**
     * The minimum time after which an attempt is hedged to meet the target latency, as a multiple of the typical time.
     */
    private static final double MINIMUM_OPEN_FACTOR = 1.35;

    /** The maximum number of candidates that {@link #add} keeps. Bounds the memory used. */
    private static final int MAXIMUM_ATTEMPTS = 10_000;

    /** The candidates in the order in which they were added. */
    private final List<AttemptState> attempts = new ArrayList<>();

    /** Adds an attempt that has just been sent, if its call may be hedged and has attempts left. */
    public void add(AttemptState attempt) {
        CallTerms terms = attempt.call().terms();
        boolean hedged = terms.hedged() && terms.idempotent() && terms.replayable();
        if (hedged
                && attempt.call().sentAttemptCount() < terms.maximumAttempts()
                && attempts.size() < MAXIMUM_ATTEMPTS) {
            attempts.add(attempt);
        }
    }

    /**
     * Removes and returns an attempt whose hedge is due, or returns {@code null} if there is none. Also removes the
     * attempts passed on the way that have ended.
     */
    public AttemptState pollDue(TypicalWorkTimes workTimes, long now) {
        Iterator<AttemptState> iterator = attempts.iterator();
        while (iterator.hasNext()) {
            AttemptState attempt = iterator.next();
            if (attempt.ended() || attempt.call().phase() != CallPhase.ATTEMPTING) {
                iterator.remove();
            } else if (due(attempt, workTimes, now)) {
                iterator.remove();
                return attempt;
            }
        }
        return null;
    }

    /** Returns whether the hedge of an attempt is due. */
    private static boolean due(AttemptState attempt, TypicalWorkTimes workTimes, long now) {
        CallTerms terms = attempt.call().terms();
        ServerState server = attempt.server();
        double typicalNanoseconds = workTimes.nanoseconds(terms.route(), terms.targetLatencyNanoseconds());
        double openNanoseconds = now - attempt.sentAt();
        if (server.condition().isUnreachable(now)) {
            return true;
        }
        boolean fresh = server.condition().slownessAge(now) < MAXIMUM_SLOWNESS_AGE_NANOSECONDS;
        double slowness = fresh ? server.condition().slowness() : 1;
        if (slowness >= SLOW_SERVER_FACTOR && openNanoseconds >= EARLY_HEDGE_SHARE * typicalNanoseconds) {
            return typicalNanoseconds * slowness - openNanoseconds > HEDGE_TIME_FACTOR * typicalNanoseconds;
        }
        double latestNanoseconds = terms.firstSentAt()
                + terms.targetLatencyNanoseconds()
                - HEDGE_TIME_FACTOR * typicalNanoseconds
                - attempt.sentAt();
        return openNanoseconds >= Math.max(latestNanoseconds, MINIMUM_OPEN_FACTOR * typicalNanoseconds);
    }

    /** Adds an attempt again that could not be hedged, so that it becomes due again. */
    public void putBack(AttemptState attempt) {
        attempts.add(attempt);
    }
}
