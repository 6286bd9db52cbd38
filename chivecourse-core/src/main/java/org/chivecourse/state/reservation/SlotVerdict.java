package org.chivecourse.state.reservation;

/** What became of a request for a slot. The ordinals are part of the messages between gateways. */
public enum SlotVerdict {
    /** The gateway allocates no backend server that could serve the request; the requester chooses by itself. */
    NOT_ALLOCATED,

    /** A slot is reserved until its release or the deadline of the request. */
    GRANTED,

    /** The request waits for a slot. */
    QUEUED,

    /** No slot can be expected in time. */
    NO_ROOM,

    /** The deadline would pass before a slot is free. */
    DEADLINE_UNREACHABLE,

    /** Too many requests wait. */
    QUEUE_FULL;

    /** Returns whether the request is refused since no slot is free in time. */
    public boolean full() {
        return this == NO_ROOM || this == DEADLINE_UNREACHABLE || this == QUEUE_FULL;
    }
}
