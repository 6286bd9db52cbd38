package org.chivecourse.coordination.limit;

import java.util.random.RandomGenerator;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.server.RequestAllowance;
import org.chivecourse.state.server.ServerWarmUp;

/** Grants the attempts of this host the permits that backend servers require which are cold or have a request limit. */
public final class RequestPermits {

    /** The source of randomness, by which hosts that wait for the same permit spread their requests. */
    private final RandomGenerator random;

    /**
     * Creates permits.
     *
     * @param random the source of randomness
     */
    public RequestPermits(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Acquires the permits for an attempt that it does not hold and needs. A limit may become known, or the backend
     * server turn cold, between its choice and the sending of the request.
     *
     * @param now the current time in nanoseconds
     * @return {@code false} if the backend server takes no further request from this host now
     */
    public boolean acquire(AttemptState attempt, long now) {
        return acquireOfWarmUp(attempt, now) && acquireOfLimit(attempt, now);
    }

    /** Acquires the permit of a cold backend server. */
    private static boolean acquireOfWarmUp(AttemptState attempt, long now) {
        ServerWarmUp warmUp = attempt.server().warmUp();
        if (!warmUp.limited(now)) {
            return true;
        }
        if (attempt.holdsWarmUpPermit()) {
            return warmUp.maySend(now);
        }
        if (!warmUp.permits(now)) {
            return false;
        }
        warmUp.take(now);
        attempt.recordWarmUpPermit();
        return true;
    }

    /** Acquires the permit of a backend server with a request limit. */
    private boolean acquireOfLimit(AttemptState attempt, long now) {
        RequestAllowance allowance = attempt.server().allowance();
        if (attempt.holdsPermit() || !allowance.limited(now)) {
            return true;
        }
        if (!allowance.permits(now)) {
            return false;
        }
        allowance.take(now, random.nextDouble());
        attempt.recordPermit();
        return true;
    }
}
