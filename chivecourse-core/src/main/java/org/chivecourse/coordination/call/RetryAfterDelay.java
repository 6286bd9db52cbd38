package org.chivecourse.coordination.call;

import java.util.random.RandomGenerator;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.limit.ExpectedWait;
import org.chivecourse.coordination.limit.LimitedCapacity;
import org.chivecourse.coordination.limit.RestingServers;
import org.chivecourse.state.call.CallTerms;

/**
 * Computes the delay after which the caller of a refused request may retry.
 *
 * <p>The delay is short after a transient failure of one backend server, and while the gateway stops: another gateway
 * can take the request. After a refusal for lack of capacity it is longer. Both are spread at random, so that callers
 * that were refused together do not retry together.
 */
final class RetryAfterDelay {

    /** The number of milliseconds in a second. */
    private static final long MILLISECONDS_PER_SECOND = 1000;

    /** The mean delay after a transient failure of one backend server. */
    private static final long TRANSIENT_FAILURE_DELAY_MILLISECONDS = 30;

    /** The share of the target latency after which capacity is expected to be available. */
    private static final double TARGET_LATENCY_SHARE = 0.5;

    /**
     * The same after the target latency of a call was missed for lack of room. Its caller comes back when those that
     * arrived meanwhile have had their turn.
     */
    private static final double TARGET_LATENCY_SHARE_WITHOUT_ROOM = 1;

    /** The mean delay while the gateway has just started and has no configuration yet. */
    private static final long STARTUP_DELAY_MILLISECONDS = 150;

    /** The minimum mean delay while the data centres of the backend servers are evacuated. */
    private static final double MINIMUM_EVACUATION_DELAY_NANOSECONDS = 1_000_000_000.0;

    /** The maximum mean delay while the data centres of the backend servers are evacuated. */
    private static final double MAXIMUM_EVACUATION_DELAY_NANOSECONDS = 30_000_000_000.0;

    /** The maximum mean delay while backend servers limit their requests. */
    private static final double MAXIMUM_LIMITED_DELAY_NANOSECONDS = 30_000_000_000.0;

    /** The number of nanoseconds in a millisecond. */
    private static final double NANOSECONDS_PER_MILLISECOND = 1_000_000.0;

    /** The source of the jitter. */
    private final RandomGenerator random;

    /**
     * Creates a rule.
     *
     * @param random the source of the jitter
     */
    RetryAfterDelay(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Returns the delay for the caller of an abandoned call, in milliseconds.
     *
     * @param service the service, {@code null} if the configuration in force has none
     * @param hostCount the number of hosts
     */
    long milliseconds(CallTerms terms, Reason reason, ServiceState service, int hostCount, long now) {
        if (reason == Reason.STOPPING) {
            return jitter(TRANSIENT_FAILURE_DELAY_MILLISECONDS);
        }
        if (reason == Reason.EVACUATED && service != null) {
            return jitter(evacuationNanoseconds(service, now) / NANOSECONDS_PER_MILLISECOND);
        }
        if (terms.route().isEmpty()) {
            return expectedWaitMilliseconds(service);
        }
        if (reason == Reason.LIMITED && service != null) {
            return jitter(limitedNanoseconds(service, hostCount, now) / NANOSECONDS_PER_MILLISECOND);
        }
        if (reason == Reason.RESTING && service != null) {
            long rest = RestingServers.nanosecondsUntilFirst(service.serversInUse(), now);
            return Math.round(rest / NANOSECONDS_PER_MILLISECOND) + jitter(TRANSIENT_FAILURE_DELAY_MILLISECONDS);
        }
        if (reason == Reason.REFUSED || reason == Reason.NO_CONNECTION) {
            return jitter(TRANSIENT_FAILURE_DELAY_MILLISECONDS);
        }
        double share = reason == Reason.NO_ROOM ? TARGET_LATENCY_SHARE_WITHOUT_ROOM : TARGET_LATENCY_SHARE;
        return jitter(share * terms.targetLatencyNanoseconds() / NANOSECONDS_PER_MILLISECOND);
    }

    /**
     * Returns the delay for the caller of a request that did not become a call, in milliseconds.
     *
     * @param service the service, {@code null} if there is none
     */
    long milliseconds(Arrival arrival, ServiceState service) {
        return arrival.host().isEmpty() ? expectedWaitMilliseconds(service) : jitter(STARTUP_DELAY_MILLISECONDS);
    }

    /**
     * Returns the time after which a service whose backend servers limit their requests can take another one, in
     * nanoseconds: after the calls that wait on this host, or on average on any other, and at most {@link
     * #MAXIMUM_LIMITED_DELAY_NANOSECONDS}.
     */
    private static double limitedNanoseconds(ServiceState service, int hostCount, long now) {
        LimitedCapacity limited = LimitedCapacity.of(service.serversInUse(), now);
        long waitNanoseconds = limited.waitNanoseconds(service.waitingCalls().size(), 0);
        double expected = waitNanoseconds == LimitedCapacity.NEVER
                ? hostCount / limited.requestsPerNanosecond()
                : waitNanoseconds;
        return Math.min(MAXIMUM_LIMITED_DELAY_NANOSECONDS, expected);
    }

    /**
     * Returns the time after which the first of a service's data centres may be taken back, in nanoseconds. Nobody says
     * when: an evacuation that has lasted for some time is expected to last as long again.
     */
    private static double evacuationNanoseconds(ServiceState service, long now) {
        double age = service.evacuations().latestAge(service.servers(), now);
        return Math.max(MINIMUM_EVACUATION_DELAY_NANOSECONDS, Math.min(MAXIMUM_EVACUATION_DELAY_NANOSECONDS, age));
    }

    /** Returns a random time between half and one and a half times the given one, in milliseconds, at least one. */
    private long jitter(double milliseconds) {
        return Math.max(1, Math.round(milliseconds * (0.5 + random.nextDouble())));
    }

    /**
     * Returns the expected wait in the queue of a service in milliseconds, rounded up to whole seconds; one second
     * without a service.
     *
     * @param service the service, {@code null} if there is none
     */
    private static long expectedWaitMilliseconds(ServiceState service) {
        return service == null
                ? MILLISECONDS_PER_SECOND
                : MILLISECONDS_PER_SECOND
                        * ExpectedWait.retryAfterSeconds(service.waitingCalls().size(), service.serversInUse());
    }
}
