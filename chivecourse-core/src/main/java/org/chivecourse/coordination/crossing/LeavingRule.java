package org.chivecourse.coordination.crossing;

/** Decides whether a call leaves its data centre. */
public enum LeavingRule {
    /** The only instance. */
    INSTANCE;

    /** The share of the time to the target within which an estimate has to lie, since answers often take longer. */
    private static final double SAFE_SHARE = 0.8;

    /** The share of the estimate here that the one elsewhere must not exceed. */
    private static final double WORTHWHILE_SHARE = 0.8;

    /** The estimated time until an answer if no backend server has room. */
    public static final double NO_ROOM = Double.POSITIVE_INFINITY;

    /**
     * Returns whether a call stays without a look at other data centres: an answer within its own surely makes the
     * target latency, or it can wait for one.
     *
     * @param localNanoseconds the estimated time until an answer within the data centre, {@link #NO_ROOM} if no backend
     *     server there has room
     * @param toTargetNanoseconds the time until the target latency, negative if it has passed
     * @param workNanoseconds the time that the work of the call typically takes
     * @param waitedNanoseconds the time for which the caller has waited
     * @param patienceNanoseconds the time for which a call waits for room before it leaves
     */
    public boolean stays(
            double localNanoseconds,
            double toTargetNanoseconds,
            double workNanoseconds,
            long waitedNanoseconds,
            long patienceNanoseconds) {
        if (localNanoseconds != NO_ROOM) {
            return localNanoseconds <= SAFE_SHARE * toTargetNanoseconds;
        }
        long waitLeft = patienceNanoseconds - waitedNanoseconds;
        return waitLeft > 0 && workNanoseconds + waitLeft <= toTargetNanoseconds;
    }

    /**
     * Returns whether a call that may miss its target latency leaves, for an answer that makes it and is clearly
     * sooner.
     *
     * @param localNanoseconds the estimated time until an answer within the data centre, {@link #NO_ROOM} if no backend
     *     server there has room
     * @param remoteNanoseconds the estimated time until an answer from the best backend server elsewhere
     * @param toTargetNanoseconds the time until the target latency, negative if it has passed
     */
    public boolean leaves(double localNanoseconds, double remoteNanoseconds, double toTargetNanoseconds) {
        return localNanoseconds == NO_ROOM
                || remoteNanoseconds <= toTargetNanoseconds && remoteNanoseconds <= WORTHWHILE_SHARE * localNanoseconds;
    }
}
