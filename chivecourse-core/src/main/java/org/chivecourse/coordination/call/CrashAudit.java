package org.chivecourse.coordination.call;

import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.poison.CrashFinding;
import org.chivecourse.state.call.CallTerms;
import org.chivecourse.state.fleet.Crash;

/** Audits what the ends of backend servers mean for the requests that were running there. */
final class CrashAudit {

    /** The services of the configuration in force. */
    private final ServiceRegistry services;

    /** Creates an audit. */
    CrashAudit(ServiceRegistry services) {
        this.services = services;
    }

    /** Audits a finding about a request that this host may suspect, in a fleet that exchanges such findings. */
    void suspicion(CrashFinding finding, long fingerprint, String cause, DecisionSink sink) {
        if (services.settings().fleet().enabled()) {
            finding.audit(fingerprint, cause, services.configuration().revision(), sink);
        }
    }

    /**
     * Audits what the end of a backend server that this host found means for a request: that the request is blocked,
     * and in a fleet that exchanges such findings everything else that it changes.
     */
    void crash(CrashFinding finding, Crash crash, CallTerms terms, DecisionSink sink) {
        if (services.settings().fleet().enabled()) {
            finding.auditOwn(
                    crash, services.settings().name(), services.configuration().revision(), sink);
        }
        if (finding == CrashFinding.BLOCKED) {
            sink.decide(new Decision.Audit(new Decision.Change(
                    Decision.Subject.REQUEST_CONVICTED,
                    terms.method() + " " + terms.path() + " " + Long.toHexString(crash.fingerprint()),
                    "suspected",
                    "convicted",
                    "crashes of backend servers coincided with it, last " + crash.server(),
                    services.configuration().revision())));
        }
    }
}
