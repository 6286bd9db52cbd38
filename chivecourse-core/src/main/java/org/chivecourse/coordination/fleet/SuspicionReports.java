package org.chivecourse.coordination.fleet;

import org.chivecourse.coordination.call.ServiceRegistry;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.poison.CrashFinding;
import org.chivecourse.coordination.poison.PoisonRequests;
import org.chivecourse.state.fleet.AnsweredRequest;
import org.chivecourse.state.fleet.Crash;
import org.chivecourse.state.fleet.FleetDigest;

/** Applies what other gateways report of suspected and blocked requests. */
final class SuspicionReports {

    /** The number of nanoseconds in a second. */
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

    /** The services of the configuration in force. */
    private final ServiceRegistry services;

    /** The requests that are suspected or blocked because backend servers crashed on them. */
    private final PoisonRequests poisonRequests;

    /** Creates the reports' receiver. */
    SuspicionReports(ServiceRegistry services, PoisonRequests poisonRequests) {
        this.services = services;
        this.poisonRequests = poisonRequests;
    }

    /**
     * Applies the answers, crashes and blocks that a digest reports.
     *
     * @param digest the digest
     * @param now the current time in nanoseconds
     * @param sink receives the audit records
     */
    void apply(FleetDigest digest, long now, DecisionSink sink) {
        String sender = digest.sender().name();
        for (AnsweredRequest answered : digest.answeredRequests()) {
            if (poisonRequests.recordAnswer(answered.fingerprint(), answered.answeredAt(), now)) {
                CrashFinding.CLEARED.audit(answered.fingerprint(), "answer known from " + sender, revision(), sink);
            }
        }
        for (Crash crash : digest.crashes()) {
            CrashFinding finding = poisonRequests.recordCrash(crash, now);
            finding.audit(crash, sender, revision(), sink);
        }
        digest.blockedRequests().forEach((fingerprint, seconds) -> block(fingerprint, seconds, sender, now, sink));
    }

    /**
     * Blocks a request that another gateway reported as blocked, and audits this if it was not blocked before.
     *
     * @param fingerprint the fingerprint of the request
     * @param seconds the remaining time of the block
     * @param source the name of the other gateway's host
     * @param now the current time in nanoseconds
     * @param sink receives the audit record
     */
    private void block(long fingerprint, int seconds, String source, long now, DecisionSink sink) {
        boolean blockedBefore = poisonRequests.blocked(fingerprint, now);
        poisonRequests.block(fingerprint, now + seconds * NANOSECONDS_PER_SECOND, now);
        if (!blockedBefore) {
            sink.decide(new Decision.Audit(new Decision.Change(
                    Decision.Subject.REQUEST_CONVICTED,
                    Long.toHexString(fingerprint),
                    "suspected",
                    "convicted",
                    "reported by " + source,
                    revision())));
        }
    }

    /** Returns the revision of the configuration in force. */
    private long revision() {
        return services.configuration().revision();
    }
}
