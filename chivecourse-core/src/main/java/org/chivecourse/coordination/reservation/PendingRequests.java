package org.chivecourse.coordination.reservation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.chivecourse.state.call.CallState;

/** The requests for slots of calls that have none yet. A call has more than one while replies are late or it waits. */
final class PendingRequests {

    /** The requests by number. */
    private final Map<Long, PendingRequest> byNumber = new LinkedHashMap<>();

    /** The requests of each call, by its identifier, in the order in which they were made. */
    private final Map<Long, List<PendingRequest>> byCall = new LinkedHashMap<>();

    /** Adds a request. */
    void add(PendingRequest request) {
        byNumber.put(number(request), request);
        byCall.computeIfAbsent(request.call().identifier(), call -> new ArrayList<>(1))
                .add(request);
    }

    /** Removes a request. */
    void remove(PendingRequest request) {
        byNumber.remove(number(request));
        List<PendingRequest> ofCall = byCall.get(request.call().identifier());
        if (ofCall != null) {
            ofCall.remove(request);
            if (ofCall.isEmpty()) {
                byCall.remove(request.call().identifier());
            }
        }
    }

    /** Returns the request of a number, {@code null} if there is none. */
    PendingRequest get(long number) {
        return byNumber.get(number);
    }

    /** Returns whether a request is pending. */
    boolean contains(PendingRequest request) {
        return byNumber.get(number(request)) == request;
    }

    /** Returns a copy of the requests of a call. */
    List<PendingRequest> ofCall(CallState call) {
        return List.copyOf(byCall.getOrDefault(call.identifier(), List.of()));
    }

    /** Returns whether a request of a call may still be granted a slot by waiting for it. */
    boolean queues(CallState call) {
        return byCall.getOrDefault(call.identifier(), List.of()).stream().anyMatch(PendingRequest::queues);
    }

    /** Returns a copy of all requests. */
    List<PendingRequest> all() {
        return List.copyOf(byNumber.values());
    }

    /** Returns the number of calls with requests. */
    int callCount() {
        return byCall.size();
    }

    /** Returns the number of a request. */
    private static long number(PendingRequest request) {
        return request.request().requester().number();
    }
}
