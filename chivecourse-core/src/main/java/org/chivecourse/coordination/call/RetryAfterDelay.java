package org.chivecourse.coordination.call;

import java.util.random.RandomGenerator;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.limit.ExpectedWait;
import org.chivecourse.state.call.CallTerms;

/**
 * Says when the caller of a refused request may come back.
 *
 * <p>A caller that was refused for a passing failure of one backend server may come back soon. One that was refused for
 * lack of room is given a time that is spread, so that callers who were refused together do not return together.
 */
final class RetryAfterDelay {

    /** The number of milliseconds in a second. */
    private static final long MILLISECONDS_PER_SECOND = 1000;

    /** The time after a passing failure, in milliseconds. */
    private static final long TRANSIENT_FAILURE_DELAY_MILLISECONDS = 30;

    /** The share of the target latency that has to pass until there may be room. */
    private static final double TARGET_LATENCY_SHARE = 0.5;

    /** The time after which a gateway that has just started may know a configuration, in milliseconds. */
    private static final long STARTUP_DELAY_MILLISECONDS = 150;

    /** The number of nanoseconds in a millisecond. */
    private static final double NANOSECONDS_PER_MILLISECOND = 1_000_000.0;

    /** The source of randomness. */
    private final RandomGenerator random;

    /**
     * Creates a rule.
     *
     * @param random the source of randomness
     */
    RetryAfterDelay(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Returns when the caller of a call that was given up may come back.
     *
     * @param terms the terms of the call
     * @param reason why it was given up
     * @param service the service, {@code null} if the configuration in force has none
     * @return the time in milliseconds
     */
    long milliseconds(CallTerms terms, Reason reason, ServiceState service) {
        if (terms.route().isEmpty()) {
            return expectedWaitMilliseconds(service);
        }
        boolean transientFailure = reason == Reason.REFUSED || reason == Reason.NO_CONNECTION;
        return transientFailure
                ? jitter(TRANSIENT_FAILURE_DELAY_MILLISECONDS)
                : jitter(TARGET_LATENCY_SHARE * terms.targetLatencyNanoseconds() / NANOSECONDS_PER_MILLISECOND);
    }

    /**
     * Returns when the caller of a request that did not become a call may come back.
     *
     * @param arrival the request
     * @param service the service, {@code null} if there is none
     * @return the time in milliseconds
     */
    long milliseconds(Arrival arrival, ServiceState service) {
        return arrival.host().isEmpty() ? expectedWaitMilliseconds(service) : jitter(STARTUP_DELAY_MILLISECONDS);
    }

    /**
     * Spreads a time by half of it to either side.
     *
     * @param milliseconds the time
     * @return a time in milliseconds
     */
    private long jitter(double milliseconds) {
        return Math.max(1, Math.round(milliseconds * (0.5 + random.nextDouble())));
    }

    /**
     * Returns the expected wait in whole seconds.
     *
     * @param service the service, {@code null} if there is none
     * @return the time in milliseconds
     */
    private static long expectedWaitMilliseconds(ServiceState service) {
        return service == null
                ? MILLISECONDS_PER_SECOND
                : MILLISECONDS_PER_SECOND
                        * ExpectedWait.retryAfterSeconds(service.waitingCalls().size(), service.servers());
    }
}
