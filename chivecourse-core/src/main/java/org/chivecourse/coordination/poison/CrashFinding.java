package org.chivecourse.coordination.poison;

import java.util.Locale;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.state.fleet.Crash;

/** What the end of a backend server means for a request that was running there. */
public enum CrashFinding {
    /** The server broke the connection of the request and may have ended. */
    POSSIBLE,

    /** The server runs, so that the break says nothing about the request. */
    WITHDRAWN,

    /** A good answer to the request cleared what was recorded before. */
    CLEARED,

    /** It counts against the request. */
    COUNTED,

    /** It does not count further, since several other backend servers ended at the same time. */
    EXCUSED,

    /** The request becomes blocked by it. */
    BLOCKED,

    /** The request was blocked before. */
    BLOCKED_BEFORE {
        @Override
        boolean changesNothing() {
            return true;
        }
    },

    /** The request has been answered since. */
    ANSWERED_SINCE {
        @Override
        boolean changesNothing() {
            return true;
        }
    },

    /** It was recorded before. */
    KNOWN {
        @Override
        boolean changesNothing() {
            return true;
        }
    };

    /** Returns whether the host knows nothing new of the request. */
    boolean changesNothing() {
        return false;
    }

    /**
     * Audits what this host found about the end of a backend server, unless it changes nothing.
     *
     * @param crash the request and the backend server
     * @param host the name of this host
     * @param revision the revision of the configuration in force
     * @param sink receives the audit record
     */
    public void auditOwn(Crash crash, String host, long revision, DecisionSink sink) {
        audit(crash.fingerprint(), "end of " + crash.server() + " known from " + host, revision, sink);
    }

    /**
     * Audits what the report of another host means, if this host refuses the request from now on. The other host audits
     * everything else, so that the number of records does not grow with the square of the fleet.
     *
     * @param crash the request and the backend server
     * @param source the name of the host that reported the crash
     * @param revision the revision of the configuration in force
     * @param sink receives the audit record
     */
    public void audit(Crash crash, String source, long revision, DecisionSink sink) {
        if (this == BLOCKED) {
            audit(crash.fingerprint(), "end of " + crash.server() + " known from " + source, revision, sink);
        }
    }

    /**
     * Audits the finding, unless it changes nothing.
     *
     * @param fingerprint the fingerprint of the request
     * @param cause what the finding is based on
     * @param revision the revision of the configuration in force
     * @param sink receives the audit record
     */
    public void audit(long fingerprint, String cause, long revision, DecisionSink sink) {
        if (changesNothing()) {
            return;
        }
        sink.decide(new Decision.Audit(new Decision.Change(
                Decision.Subject.REQUEST_SUSPECTED,
                Long.toHexString(fingerprint),
                "",
                name().toLowerCase(Locale.ROOT),
                cause,
                revision)));
    }
}
