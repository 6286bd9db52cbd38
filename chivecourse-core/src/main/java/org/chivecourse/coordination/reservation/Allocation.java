package org.chivecourse.coordination.reservation;

import org.chivecourse.state.call.CallState;
import org.chivecourse.state.reservation.SlotRequest;
import org.chivecourse.state.server.ServerState;

/** A request for a slot that waits or has been granted one. */
final class Allocation {

    /** The request. */
    private final SlotRequest request;

    /** The address to reply to, empty for this gateway itself. */
    private final String address;

    /** The call, as far as the order of waiting calls needs it. */
    private final CallState call;

    /** The backend server of the granted slot, {@code null} while the request waits. */
    private ServerState server;

    /** The time of the grant, in nanoseconds. */
    private long grantedAt;

    /** Creates an allocation that waits. */
    Allocation(SlotRequest request, String address, CallState call) {
        this.request = request;
        this.address = address;
        this.call = call;
    }

    /** Records the grant, which counts as a request at the backend server until {@link #release}. */
    void grant(ServerState granted, long now) {
        server = granted;
        grantedAt = now;
        granted.reservations().begin(now);
    }

    /** Ends the grant, if there is one. */
    void release() {
        if (server != null) {
            server.reservations().end(grantedAt);
        }
    }

    /** Returns the request. */
    SlotRequest request() {
        return request;
    }

    /** Returns the address to reply to, empty for this gateway itself. */
    String address() {
        return address;
    }

    /** Returns the call, as far as the order of waiting calls needs it. */
    CallState call() {
        return call;
    }

    /** Returns the backend server of the granted slot, {@code null} while the request waits. */
    ServerState server() {
        return server;
    }
}
