package org.chivecourse.coordination.fleet;

import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;

/** Records since when this gateway has known that others have newer published items, and audits how it caught up. */
final class PublicationLag {

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

    /** The name of this gateway's host, for the audit log. */
    private final String ownName;

    /** The highest revision that another gateway is known to have. */
    private long highestRevision;

    /** The revision of this gateway when it fell behind. */
    private long revisionBefore;

    /** The time at which this gateway learnt that it is behind, in nanoseconds. */
    private long since;

    /** The highest revision of this gateway since it fell behind. */
    private long latestOwnRevision;

    /** The time at which this gateway last received newer items or heard of some, in nanoseconds. */
    private long progressAt;

    /** Whether another gateway is known to have newer items. */
    private boolean behind;

    /** The number of pulls that were started since. */
    private int pulls;

    /**
     * Creates a record of a gateway that is not behind.
     *
     * @param ownName the name of this gateway's host, for the audit log
     */
    PublicationLag(String ownName) {
        this.ownName = ownName;
    }

    /**
     * Records that another gateway has a revision.
     *
     * @param peer the name of the other gateway's host
     * @param revision its revision
     * @param ownRevision the revision of this gateway
     * @param now the current time in nanoseconds
     * @param sink receives an audit record if this gateway falls behind
     */
    void recordPeer(String peer, long revision, long ownRevision, long now, DecisionSink sink) {
        boolean news = revision > highestRevision;
        highestRevision = Math.max(highestRevision, revision);
        progressAt = news ? now : progressAt;
        if (behind || revision <= ownRevision) {
            return;
        }
        behind = true;
        since = now;
        progressAt = now;
        latestOwnRevision = ownRevision;
        revisionBefore = ownRevision;
        pulls = 0;
        audit("behind", ownRevision, revision, "digest of " + peer, sink);
    }

    /** Records that a pull was started. */
    void recordPull() {
        pulls++;
    }

    /**
     * Records the revision of this gateway after it received items.
     *
     * @param ownRevision the revision
     * @param way how the last items were received
     * @param now the current time in nanoseconds
     * @param sink receives an audit record if this gateway caught up
     */
    void recordOwn(long ownRevision, String way, long now, DecisionSink sink) {
        if (behind && ownRevision > latestOwnRevision) {
            latestOwnRevision = ownRevision;
            progressAt = now;
        }
        if (!behind || ownRevision < highestRevision) {
            return;
        }
        behind = false;
        String cause = way + ", after " + (now - since) / NANOSECONDS_PER_MILLISECOND + " ms, pulls: " + pulls;
        audit("caught up", revisionBefore, ownRevision, cause, sink);
    }

    /** Returns whether another gateway is known to have newer items. */
    boolean behind() {
        return behind;
    }

    /** Returns the time at which this gateway last received newer items or heard of some, in nanoseconds. */
    long progressAt() {
        return progressAt;
    }

    /**
     * Writes an audit record.
     *
     * @param name what happened
     * @param from the revision before
     * @param to the revision that is known of, or reached
     * @param cause how this became known or was reached
     * @param sink receives the record
     */
    private void audit(String name, long from, long to, String cause, DecisionSink sink) {
        sink.decide(new Decision.Audit(new Decision.Change(
                Decision.Subject.PUBLICATION,
                ownName,
                Long.toString(from),
                name + " " + Long.toString(to),
                cause,
                to)));
    }
}
