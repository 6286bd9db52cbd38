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
 * The attempts of which a second copy may be sent to another backend server, and the time at which that is worth it.
 *
 * <p>It is worth it as soon as the backend server is known to have become much slower, or is out of reach; and else at
 * the last moment at which another one that works as usual still answers within the target latency.
 */
public final class HedgeCandidates {

    /** The slowness from which on a backend server is left early. */
    private static final double SLOW_SERVER_FACTOR = 2;

    /** The age up to which a stated slowness counts, in nanoseconds. */
    private static final long MAXIMUM_SLOWNESS_AGE_NANOSECONDS = 150_000_000L;

    /** The share of the usual time that an attempt has to be open before it is left for slowness. */
    private static final double EARLY_HEDGE_SHARE = 0.15;

    /** The time that the second copy is given, as a multiple of the usual time. */
    private static final double HEDGE_TIME_FACTOR = 1.25;

    /** The least time after which a second copy is sent, as a multiple of the usual time. */
    private static final double MINIMUM_OPEN_FACTOR = 1.35;

    /** The largest number of attempts. */
    private static final int MAXIMUM_ATTEMPTS = 10_000;

    /** The attempts. */
    private final List<AttemptState> attempts = new ArrayList<>();

    /**
     * Adds an attempt that was handed to a connection, if a second copy of its call may be sent.
     *
     * @param attempt the attempt
     */
    public void add(AttemptState attempt) {
        CallTerms terms = attempt.call().terms();
        boolean hedged = terms.hedged() && terms.idempotent() && terms.replayable();
        if (hedged && attempt.call().attemptsSent() < terms.maximumAttempts() && attempts.size() < MAXIMUM_ATTEMPTS) {
            attempts.add(attempt);
        }
    }

    /**
     * Returns an attempt of which a second copy is worth it now, once.
     *
     * @param workTimes the time that requests take
     * @param now the time in nanoseconds
     * @return the attempt, or {@code null} if there is none
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

    /**
     * Returns whether a second copy is worth it now.
     *
     * @param attempt the attempt
     * @param workTimes the time that requests take
     * @param now the time in nanoseconds
     * @return {@code true} if it is
     */
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
        double latestNanoseconds = terms.arrivedAt()
                + terms.targetLatencyNanoseconds()
                - HEDGE_TIME_FACTOR * typicalNanoseconds
                - attempt.sentAt();
        return openNanoseconds >= Math.max(latestNanoseconds, MINIMUM_OPEN_FACTOR * typicalNanoseconds);
    }

    /**
     * Puts back an attempt of which no second copy could be sent, so that it becomes due again.
     *
     * @param attempt the attempt
     */
    public void putBack(AttemptState attempt) {
        attempts.add(attempt);
    }
}
