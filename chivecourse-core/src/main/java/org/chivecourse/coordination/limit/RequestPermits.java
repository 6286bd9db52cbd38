package org.chivecourse.coordination.limit;

import java.util.random.RandomGenerator;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.server.RequestAllowance;

/** Grants the attempts of this host the permits that backend servers with a request limit require. */
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
     * Acquires a permit for an attempt, unless it holds one or needs none. A limit may become known between the choice
     * of the backend server and the sending of the request.
     *
     * @param now the current time in nanoseconds
     * @return {@code false} if the backend server takes no further request from this host now
     */
    public boolean acquire(AttemptState attempt, long now) {
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
