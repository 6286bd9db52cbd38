package org.chivecourse.coordination.reservation;

import org.chivecourse.state.call.CallState;
import org.chivecourse.state.fleet.Member;
import org.chivecourse.state.reservation.SlotRequest;

/** A request for a slot of a call of this gateway that has none yet. Times are in nanoseconds. */
final class PendingRequest {

    /** The time after which a request without a reply is sent again. */
    private static final long REPETITION_NANOSECONDS = 15_000_000L;

    /** The time after which the allocator at which a request waits is asked whether it still does. */
    private static final long CONFIRMATION_NANOSECONDS = 100_000_000L;

    /** The call. */
    private final CallState call;

    /** The request. */
    private final SlotRequest request;

    /** The gateway that was asked. */
    private final Member recipient;

    /** The time at which the request was first sent. */
    private final long requestedAt;

    /** The address of the allocator, that of the gateway that was asked until a reply comes. */
    private String address;

    /** The time at which the request was last sent. */
    private long sentAt;

    /** Whether the allocator has replied, if only that the request waits. */
    private boolean answered;

    /** Whether a reply is outstanding. */
    private boolean outstanding = true;

    /** The time of the first sending without a reply. */
    private long outstandingSince;

    /** Whether another allocator was asked since this one did not reply in time. */
    private boolean overdue;

    /** Creates a request that has just been sent. */
    PendingRequest(CallState call, SlotRequest request, Member recipient, long now) {
        this.call = call;
        this.request = request;
        this.recipient = recipient;
        address = recipient.address();
        requestedAt = now;
        sentAt = now;
        outstandingSince = now;
    }

    /** Records a reply of the allocator at an address. */
    void recordReply(String allocatorAddress) {
        answered = true;
        outstanding = false;
        overdue = false;
        address = allocatorAddress;
    }

    /** Returns whether the allocator has replied, if only that the request waits. */
    boolean answered() {
        return answered;
    }

    /** Returns the time at which the request was first sent. */
    long requestedAt() {
        return requestedAt;
    }

    /** Records that the request is sent again. */
    void recordRepetition(long now) {
        if (!outstanding) {
            outstanding = true;
            outstandingSince = now;
        }
        sentAt = now;
    }

    /** Records that another allocator is asked, so that this one is only listened to. */
    void recordOverdue() {
        overdue = true;
    }

    /** Returns whether another allocator was asked since this one did not reply in time. */
    boolean overdue() {
        return overdue;
    }

    /** Returns whether the request is placed in a queue if no slot is free. */
    boolean queues() {
        return !request.immediate();
    }

    /** Returns whether the request has to be sent again. */
    boolean repetitionDue(long now) {
        return now - sentAt >= (outstanding ? REPETITION_NANOSECONDS : CONFIRMATION_NANOSECONDS);
    }

    /**
     * Returns whether a reply is late.
     *
     * @param timeout the time within which replies come
     * @param resumedAt the time since which this gateway has not been held up itself
     */
    boolean late(long timeout, long resumedAt, long now) {
        return outstanding && now - Math.max(outstandingSince, resumedAt) >= timeout;
    }

    /** Returns the call. */
    CallState call() {
        return call;
    }

    /** Returns the request. */
    SlotRequest request() {
        return request;
    }

    /** Returns the gateway that was asked. */
    Member recipient() {
        return recipient;
    }

    /** Returns the address of the allocator, that of the gateway that was asked until a reply comes. */
    String address() {
        return address;
    }
}
