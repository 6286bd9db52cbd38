package org.chivecourse.state.reservation;

/** How a call came to its last backend server, or to its refusal, as far as slots go. */
public enum SlotWay {
    /** No slot was requested: the gateway chose by itself. */
    NONE,

    /** A slot was requested and nothing has come of it yet. */
    REQUESTED,

    /** A slot was granted at once. */
    GRANTED,

    /** The call waits or has waited at an allocator, and is granted a slot then. */
    WAITED,

    /** An allocator refused the call. */
    REFUSED,

    /** No allocator replied in time: the gateway chose by itself. */
    UNANSWERED,

    /** The allocator that was asked allocates nothing that could serve the call: the gateway chose by itself. */
    NOT_ALLOCATED,

    /** The slot that was granted could not be used: the gateway chose by itself. */
    UNUSABLE,

    /** The call went to a backend server that limits what each gateway may send, and that no allocator grants. */
    LIMITED
}
