package org.chivecourse.coordination.fleet;

import java.util.concurrent.TimeUnit;
import org.chivecourse.coordination.call.ServiceRegistry;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.poison.PoisonRequests;
import org.chivecourse.state.fleet.FleetDigest;

/** Blocks the requests that other gateways report as blocked. */
final class ReportedBlocks {

    /** The requests that are suspected or blocked because backend servers crashed on them. */
    private final PoisonRequests poisonRequests;

    /** The services of the configuration in force. */
    private final ServiceRegistry services;

    /** Creates blocks. */
    ReportedBlocks(PoisonRequests poisonRequests, ServiceRegistry services) {
        this.poisonRequests = poisonRequests;
        this.services = services;
    }

    /** Blocks the requests that a digest reports, and audits those that were not blocked before. */
    void apply(FleetDigest digest, long now, DecisionSink sink) {
        digest.blockedRequests()
                .forEach((fingerprint, seconds) ->
                        block(fingerprint, seconds, digest.sender().name(), now, sink));
    }

    /** Blocks a request for the remaining time that another gateway reports. */
    private void block(long fingerprint, int seconds, String source, long now, DecisionSink sink) {
        boolean blockedBefore = poisonRequests.blocked(fingerprint, now);
        poisonRequests.block(fingerprint, now + TimeUnit.SECONDS.toNanos(seconds), now);
        if (!blockedBefore) {
            sink.decide(new Decision.Audit(new Decision.Change(
                    Decision.Subject.REQUEST_CONVICTED,
                    Long.toHexString(fingerprint),
                    "suspected",
                    "convicted",
                    "reported by " + source,
                    services.configuration().revision())));
        }
    }
}
