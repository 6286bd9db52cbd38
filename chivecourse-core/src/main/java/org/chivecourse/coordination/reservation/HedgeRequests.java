package org.chivecourse.coordination.reservation;

import java.util.HashMap;
import java.util.Map;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallState;

/** The requests for slots in which calls get a hedge. They are not repeated, and each call has at most one. */
final class HedgeRequests {

    /** The time after which another slot may be requested for the same call, in nanoseconds. */
    private static final long REPETITION_NANOSECONDS = 60_000_000L;

    /** The latest request of each call, by the identifier of the call. */
    private final Map<Long, Request> requests = new HashMap<>();

    /** Returns whether a slot may be requested for a call now. */
    boolean due(CallState call, long now) {
        Request request = requests.get(call.identifier());
        return request == null || now - request.sentAt() >= REPETITION_NANOSECONDS;
    }

    /** Records that a slot is requested. */
    void record(CallState call, long number, long now) {
        requests.put(call.identifier(), new Request(call, number, now));
    }

    /** Returns the call of a request if it still waits for its reply, and {@code null} otherwise. */
    CallState call(long number) {
        for (Request request : requests.values()) {
            if (request.number() == number) {
                return request.call();
            }
        }
        return null;
    }

    /** Removes the requests of calls that need no hedge any more. */
    void removeEnded() {
        requests.values().removeIf(request -> request.call().phase() != CallPhase.ATTEMPTING);
    }

    /**
     * A request for a slot.
     *
     * @param call the call
     * @param number the number of the request
     * @param sentAt the time at which it was sent, in nanoseconds
     */
    private record Request(CallState call, long number, long sentAt) {}
}
