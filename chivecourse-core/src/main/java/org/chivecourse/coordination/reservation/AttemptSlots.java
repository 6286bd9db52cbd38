package org.chivecourse.coordination.reservation;

import org.chivecourse.coordination.call.ServiceRegistry;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.state.call.AttemptState;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.reservation.SlotKey;
import org.chivecourse.state.reservation.SlotOutcome;
import org.chivecourse.state.reservation.SlotReply;
import org.chivecourse.state.server.LoadReport;
import org.chivecourse.state.server.ServerState;

/** Starts attempts at the backend servers of granted slots, and releases the slots when the attempts end. */
public final class AttemptSlots {

    /** The services of the configuration in force. */
    private final ServiceRegistry services;

    /** Starts the attempts. */
    private final ReservedCalls calls;

    /** Delivers releases to allocators. */
    private final AllocatorLink link;

    /** The granted slots. */
    private final GrantedSlots grants = new GrantedSlots();

    /** Creates attempts without slots. */
    AttemptSlots(ServiceRegistry services, ReservedCalls calls, AllocatorLink link) {
        this.services = services;
        this.calls = calls;
        this.link = link;
    }

    /**
     * Starts an attempt at the backend server of a granted slot.
     *
     * @param address the address of the allocator, empty for this gateway itself
     * @return {@code false} if that is not possible, so that the slot is released
     */
    boolean launch(CallState call, SlotReply reply, String address, long now, DecisionSink sink) {
        ServerState server = grantedServer(reply);
        AttemptState attempt = server == null ? null : calls.launch(call, server, now, sink);
        use(reply, address, attempt, now, sink);
        return attempt != null;
    }

    /**
     * Starts a hedge at the backend server of a granted slot, or releases the slot if none is needed any more.
     *
     * @param call the call to hedge, {@code null} if the slot was requested for a call that has gone on without it
     * @param address the address of the allocator, empty for this gateway itself
     */
    void launchHedge(CallState call, SlotReply reply, String address, long now, DecisionSink sink) {
        ServerState server = grantedServer(reply);
        AttemptState attempt = server == null || call == null ? null : calls.launchHedge(call, server, now, sink);
        use(reply, address, attempt, now, sink);
    }

    /** Returns the backend server of a granted slot, {@code null} if this gateway does not know that process. */
    private ServerState grantedServer(SlotReply reply) {
        ServerState server = services.server(reply.server());
        return server != null && server.incarnation() == reply.serverIncarnation() ? server : null;
    }

    /**
     * Keeps a granted slot while an attempt uses it.
     *
     * @param attempt the attempt, {@code null} if none does, so that the slot is released
     */
    private void use(SlotReply reply, String address, AttemptState attempt, long now, DecisionSink sink) {
        if (attempt == null) {
            link.release(reply.requester(), address, SlotOutcome.CANCELLED, null, now, sink);
        } else {
            grants.add(attempt, reply.requester(), address);
        }
    }

    /** Returns whether an attempt uses the slot that a request was granted. */
    boolean uses(SlotKey requester) {
        return grants.includes(requester);
    }

    /** Returns whether an attempt was placed by an allocator. */
    public boolean placed(AttemptState attempt) {
        return grants.includes(attempt);
    }

    /**
     * Releases the slot that an attempt used. Does nothing if it used none or has released it before.
     *
     * @param report the load that the backend server reported, {@code null} if it reported none
     */
    public void release(AttemptState attempt, SlotOutcome outcome, LoadReport report, long now, DecisionSink sink) {
        GrantedSlots.Grant grant = grants.remove(attempt);
        if (grant != null) {
            link.release(grant.requester(), grant.address(), outcome, report, now, sink);
        }
    }

    /** Releases the slots of attempts that have ended. */
    void settle(long now, DecisionSink sink) {
        for (GrantedSlots.Grant grant : grants.removeEnded()) {
            link.release(grant.requester(), grant.address(), SlotOutcome.CANCELLED, null, now, sink);
        }
    }
}
