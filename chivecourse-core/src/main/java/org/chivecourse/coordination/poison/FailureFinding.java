package org.chivecourse.coordination.poison;

import java.util.Locale;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;

/** What the failure of a backend server means for a request that was in flight there. */
public enum FailureFinding {
    /** It counts against the request. */
    COUNTED,

    /** It does not count, since several other backend servers failed at the same time. */
    EXCUSED,

    /** The request becomes blocked by it. */
    BLOCKED,

    /** The request was blocked before. */
    BLOCKED_BEFORE;

    /**
     * Audits the finding.
     *
     * @param fingerprint the fingerprint of the request
     * @param server the identity of the backend server
     * @param source the name of the host that observed the failure
     * @param revision the revision of the configuration in force
     * @param sink receives the audit record
     */
    public void audit(long fingerprint, String server, String source, long revision, DecisionSink sink) {
        sink.decide(new Decision.Audit(new Decision.Change(
                Decision.Subject.REQUEST_SUSPECTED,
                Long.toHexString(fingerprint),
                "",
                name().toLowerCase(Locale.ROOT).replace('_', ' '),
                "failure of " + server + " observed by " + source,
                revision)));
    }
}
