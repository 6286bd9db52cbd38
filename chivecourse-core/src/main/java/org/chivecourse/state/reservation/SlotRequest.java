package org.chivecourse.state.reservation;

import java.util.List;

/**
 * A gateway's request for a slot of one of the backend servers that another gateway allocates.
 *
 * @param requester the requesting gateway and the number of the request
 * @param service the name of the service
 * @param dataCentre the data centre of the backend servers
 * @param group the group of backend servers
 * @param route the name of the route
 * @param rank the rank by which calls compete for capacity, zero for the most urgent
 * @param elapsedNanoseconds the time since the caller first sent its request, in nanoseconds
 * @param remainingNanoseconds the time until its deadline, in nanoseconds
 * @param targetLatencyNanoseconds the time within which an answer has its full value, in nanoseconds
 * @param immediate whether the request is refused rather than queued if no slot is free
 * @param tried the identities of the backend servers that the call has been tried on
 * @param replyAddress the address to reply to if other gateways passed the request on, empty for that of its sender
 * @param hops the number of gateways that passed the request on
 */
public record SlotRequest(
        SlotKey requester,
        String service,
        String dataCentre,
        int group,
        String route,
        int rank,
        long elapsedNanoseconds,
        long remainingNanoseconds,
        long targetLatencyNanoseconds,
        boolean immediate,
        List<String> tried,
        String replyAddress,
        int hops) {

    /** Creates a request with a copy of the identities. */
    public SlotRequest {
        tried = List.copyOf(tried);
    }

    /** Returns the request as another gateway passes it on. */
    public SlotRequest passedOn() {
        return new SlotRequest(
                requester,
                service,
                dataCentre,
                group,
                route,
                rank,
                elapsedNanoseconds,
                remainingNanoseconds,
                targetLatencyNanoseconds,
                immediate,
                tried,
                replyAddress,
                hops + 1);
    }
}
