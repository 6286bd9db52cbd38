package org.chivecourse.coordination.call;

import java.util.random.RandomGenerator;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.server.ServerState;

/** Why backend servers get no requests at present although they are in service: evacuations and rests. */
public final class ServerPauses {

    /** The longest time by which a rest ends later than asked for, in nanoseconds. */
    private static final double MAXIMUM_REST_SPREAD_NANOSECONDS = 500_000_000;

    /** The share of a rest by which it ends later than asked for at most. */
    private static final double REST_SPREAD_SHARE = 0.2;

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

    /** The services of the configuration in force. */
    private final ServiceRegistry services;

    /** The source of randomness. */
    private final RandomGenerator random;

    /** Creates an instance. */
    ServerPauses(ServiceRegistry services, RandomGenerator random) {
        this.services = services;
        this.random = random;
    }

    /**
     * Returns why an attempt is withdrawn that could be sent now, or {@code null} if its backend server gets requests.
     */
    Reason reason(AttemptState attempt, long now) {
        if (services.evacuations().withdraws(attempt)) {
            return Reason.EVACUATED;
        }
        return !attempt.forwarded() && attempt.server().rest().active(now) ? Reason.RESTING : null;
    }

    /**
     * Records that a backend server asked this host for rest. Each host ends the rest a little later than asked for, so
     * that they do not all return at once.
     */
    public void recordRest(ServerState server, long restNanoseconds, long now, DecisionSink sink) {
        double spread = Math.min(MAXIMUM_REST_SPREAD_NANOSECONDS, REST_SPREAD_SHARE * restNanoseconds);
        long until = now + restNanoseconds + (long) (random.nextDouble() * spread);
        if (server.rest().request(until, now)) {
            sink.decide(new Decision.Audit(new Decision.Change(
                    Decision.Subject.SERVER_RESTING,
                    server.identity(),
                    "taking requests",
                    "resting",
                    "asked for " + restNanoseconds / NANOSECONDS_PER_MILLISECOND + " ms",
                    services.configuration().revision())));
        }
    }
}
