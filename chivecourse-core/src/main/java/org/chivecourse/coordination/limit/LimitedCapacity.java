package org.chivecourse.coordination.limit;

import java.util.List;
import org.chivecourse.state.server.RequestAllowance;
import org.chivecourse.state.server.ServerState;
import org.chivecourse.state.server.ServerWarmUp;

/**
 * How many requests the backend servers of a service take that are cold or have a request limit.
 *
 * @param everyServerLimited whether each backend server in service has a limit or is cold, and there is at least one
 * @param ownRequestsPerNanosecond the rate at which this host may send to them if all others that may send do so
 * @param requestsPerNanosecond the rate at which all hosts together may send to them
 * @param nanosecondsUntilPermit the time until this host may send the next request, {@link #NEVER} if it may not
 */
public record LimitedCapacity(
        boolean everyServerLimited,
        double ownRequestsPerNanosecond,
        double requestsPerNanosecond,
        long nanosecondsUntilPermit) {

    /** A time that does not pass within the life of any call, in nanoseconds. */
    public static final long NEVER = RequestAllowance.NEVER;

    /** Determines the capacity of the backend servers that are in service and do not rest. */
    public static LimitedCapacity of(List<ServerState> servers, long now) {
        int inService = 0;
        int limited = 0;
        double own = 0;
        double all = 0;
        long untilPermit = NEVER;
        for (ServerState server : servers) {
            if (!server.takesRequests(now)) {
                continue;
            }
            inService++;
            RequestAllowance allowance = server.allowance();
            ServerWarmUp warmUp = server.warmUp();
            if (warmUp.limited(now)) {
                limited++;
                own += warmUp.ownRequestsPerNanosecond();
                all += warmUp.requestsPerNanosecond();
                untilPermit = Math.min(untilPermit, warmUp.nanosecondsUntilPermit(now));
            } else if (allowance.limited(now)) {
                limited++;
                own += allowance.ownRequestsPerNanosecond();
                all += allowance.requestsPerNanosecond();
                untilPermit = Math.min(untilPermit, allowance.nanosecondsUntilPermit(now));
            }
        }
        return new LimitedCapacity(inService > 0 && limited == inService, own, all, untilPermit);
    }

    /**
     * Returns the expected time until this host sends a call to a backend server with a limit.
     *
     * @param ahead the number of calls that wait ahead of it
     * @param overtakingPerNanosecond the rate at which calls arrive that go ahead of it
     * @return the time in nanoseconds, {@link #NEVER} if this host may not send or such calls take all permits
     */
    public long waitNanoseconds(int ahead, double overtakingPerNanosecond) {
        double left = ownRequestsPerNanosecond - overtakingPerNanosecond;
        if (nanosecondsUntilPermit == NEVER || left <= 0) {
            return NEVER;
        }
        return (long) (nanosecondsUntilPermit + (ahead + overtakingPerNanosecond * nanosecondsUntilPermit) / left);
    }
}
