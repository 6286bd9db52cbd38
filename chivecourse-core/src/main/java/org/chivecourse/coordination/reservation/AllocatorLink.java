package org.chivecourse.coordination.reservation;

import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.state.fleet.Member;
import org.chivecourse.state.reservation.SlotKey;
import org.chivecourse.state.reservation.SlotOutcome;
import org.chivecourse.state.reservation.SlotRelease;
import org.chivecourse.state.reservation.SlotRequest;
import org.chivecourse.state.server.LoadReport;

/** Delivers requests and releases to allocators, one of which is this gateway's own. */
final class AllocatorLink {

    /** This gateway. */
    private final Member self;

    /** The allocator of this gateway. */
    private final SlotAllocator allocator;

    /** Creates a link. */
    AllocatorLink(Member self, SlotAllocator allocator) {
        this.self = self;
        this.allocator = allocator;
    }

    /** Returns whether a gateway is this one. */
    boolean isOwn(Member member) {
        return member.name().equals(self.name());
    }

    /** Sends a request to a gateway, which may be this one. */
    void send(SlotRequest request, Member recipient, long now, DecisionSink sink) {
        if (isOwn(recipient)) {
            allocator.handle(request, "", now, sink);
        } else {
            sink.decide(new Decision.RequestSlot(recipient.address(), request));
        }
    }

    /**
     * Releases a slot, or the request for one.
     *
     * @param address the address of the allocator, empty for this gateway itself
     * @param report the load that the backend server reported, {@code null} if it reported none
     */
    void release(
            SlotKey requester, String address, SlotOutcome outcome, LoadReport report, long now, DecisionSink sink) {
        SlotRelease release = new SlotRelease(requester, outcome, report);
        if (address.isEmpty() || address.equals(self.address())) {
            allocator.release(release, now, sink);
        } else {
            sink.decide(new Decision.ReleaseSlot(address, release));
        }
    }
}
