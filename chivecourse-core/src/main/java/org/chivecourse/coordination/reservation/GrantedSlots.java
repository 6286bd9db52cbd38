package org.chivecourse.coordination.reservation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.reservation.SlotKey;

/** The slots that were granted to this gateway, with the attempts that use them. */
final class GrantedSlots {

    /** The granted slots, by the identifiers of the attempts. */
    private final Map<Long, Grant> grants = new HashMap<>();

    /**
     * Adds a granted slot.
     *
     * @param address the address of the allocator, empty for this gateway itself
     */
    void add(AttemptState attempt, SlotKey requester, String address) {
        grants.put(attempt.identifier(), new Grant(requester, address, attempt));
    }

    /** Returns whether an attempt uses a granted slot. */
    boolean includes(AttemptState attempt) {
        return grants.containsKey(attempt.identifier());
    }

    /** Returns whether an attempt uses the slot that a request was granted. */
    boolean includes(SlotKey requester) {
        return grants.values().stream().anyMatch(grant -> grant.requester().equals(requester));
    }

    /** Removes and returns the slot that an attempt used, or returns {@code null} if it uses none. */
    Grant remove(AttemptState attempt) {
        return grants.remove(attempt.identifier());
    }

    /** Removes and returns the slots of attempts that have ended. */
    List<Grant> removeEnded() {
        List<Grant> ended = grants.values().stream()
                .filter(grant -> grant.attempt().ended())
                .toList();
        ended.forEach(grant -> remove(grant.attempt()));
        return ended;
    }

    /**
     * A granted slot.
     *
     * @param requester the request that it was granted to
     * @param address the address of the allocator, empty for this gateway itself
     * @param attempt the attempt that uses it
     */
    record Grant(SlotKey requester, String address, AttemptState attempt) {}
}
