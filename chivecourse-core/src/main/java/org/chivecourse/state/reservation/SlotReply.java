package org.chivecourse.state.reservation;

/**
 * The reply to a request for a slot.
 *
 * @param requester the requesting gateway and the number of the request
 * @param verdict what became of the request
 * @param server the identity of the backend server, empty unless a slot was granted
 * @param serverIncarnation the incarnation of the backend server's process, zero if it comes from the configuration
 */
public record SlotReply(SlotKey requester, SlotVerdict verdict, String server, long serverIncarnation) {

    /** Creates a reply that grants no slot. */
    public SlotReply(SlotKey requester, SlotVerdict verdict) {
        this(requester, verdict, "", 0);
    }
}
