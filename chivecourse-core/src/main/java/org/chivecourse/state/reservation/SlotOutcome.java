package org.chivecourse.state.reservation;

/** How a reservation was used. The ordinals are part of the messages between gateways. */
public enum SlotOutcome {
    /** Nothing could be sent or was needed, or the requester no longer waits for an answer. */
    CANCELLED,

    /** The backend server answered. */
    ANSWERED,

    /** The backend server refused to run the request. */
    REFUSED,

    /** The connection to the backend server broke. */
    FAILED
}
